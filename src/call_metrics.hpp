/** @file call_metrics.hpp Metrics of calls and attempts. */
#pragma once

#include "call_type.hpp"
#include "metrics.hpp"

#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>

namespace sniperock {

/** Metrics of calls and attempts; caches the series, since the registry takes a lock. */
class call_metrics {
public:
    explicit call_metrics(metrics& registry);

    /**
     * Records the end of a call.
     * @param route name of the route; empty if none matched.
     * @param seconds time from arrival of the request to its answer.
     */
    void record_call(const std::string& service, const std::string& route, call_end end,
                     double seconds);
    /** Records the end of a call of a client account. */
    void record_account_call(const std::string& account, call_end end);
    /** Records the end of an attempt. */
    void record_attempt(const std::string& service, attempt_end end);

    prometheus::Counter& repeats;
    prometheus::Counter& hedges;
    prometheus::Counter& repeats_denied;
    prometheus::Counter& relays;
    prometheus::Counter& cold_denied;
    prometheus::Counter& limit_denied;

private:
    metrics& registry_;
    std::map<std::tuple<std::string, std::string, call_end>, prometheus::Histogram*> calls_;
    std::map<std::pair<std::string, attempt_end>, prometheus::Counter*> attempts_;
    std::map<std::pair<std::string, std::string_view>, prometheus::Counter*> account_calls_;
};

} // namespace sniperock

/** @file call_metrics.hpp What is counted and measured about calls. */
#pragma once

#include "call_type.hpp"
#include "metrics.hpp"

#include <map>
#include <string>
#include <tuple>
#include <utility>

namespace sniperock {

/** Metrics of calls and attempts; look-ups are cached, since the registry takes a lock. */
class call_metrics {
public:
    explicit call_metrics(metrics& registry);

    /**
     * A call ended.
     * @param route its name; empty if none matched.
     * @param seconds from its arrival to its answer.
     */
    void ended(const std::string& service, const std::string& route, call_end end, double seconds);
    /** An attempt ended. */
    void attempt_ended(const std::string& service, attempt_end end);

    prometheus::Counter& repeats;
    prometheus::Counter& hedges;
    prometheus::Counter& repeats_denied;
    prometheus::Counter& cold_denied;

private:
    metrics& registry_;
    std::map<std::tuple<std::string, std::string, call_end>, prometheus::Histogram*> calls_;
    std::map<std::pair<std::string, attempt_end>, prometheus::Counter*> attempts_;
};

} // namespace sniperock

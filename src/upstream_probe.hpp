/** @file upstream_probe.hpp Asks upstreams for their load and health. */
#pragma once

#include "upstream_pool.hpp"
#include "upstream_type.hpp"
#include "wire_dialect.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace sniperock {

/** An upstream that answered a probe, and the connection on which it did. */
struct probe_answer {
    upstream_ptr target;
    /** Just proven to work; null if the report came otherwise. */
    std::shared_ptr<http_connection> connection;
};

/**
 * Probes that are made together for one choice. The choice takes what has come when it has waited
 * long enough; a probe that answers later still updates what is known.
 */
class probe_round {
public:
    explicit probe_round(const asio::any_io_executor& executor) : changed(executor) {}

    std::vector<probe_answer> answers;
    std::size_t pending = 0;
    /** Nobody waits for it any more. */
    bool closed = false;
    async_signal changed;
};

/** Sends probes and learns from their answers, and from those that do not come. */
class upstream_prober {
public:
    upstream_prober(asio::io_context& io, upstream_pool& pool, const wire_dialect& dialect,
                    metrics& measured);

    /** Starts a probe of @p target as a part of @p round. */
    void start(const std::shared_ptr<probe_round>& round, const upstream_ptr& target,
               const std::string& health_path);
    /** Takes over what an answer says of its upstream. */
    void learn(upstream& item, const http_headers& headers, local_time now) const;
    /** Time that probes take on average. */
    [[nodiscard]] nanoseconds usual_time() const { return usual_time_; }

private:
    task<> run(std::shared_ptr<probe_round> round, upstream_ptr target, std::string health_path);
    task<bool> ask(std::shared_ptr<http_connection> connection, upstream_ptr target,
                   std::string health_path, nanoseconds limit);
    void take_answer(upstream& item, http_head& head) const;

    asio::io_context& io_;
    upstream_pool& pool_;
    const wire_dialect& dialect_;
    /** Before the first answer: a round trip within a region and an upstream's own time. */
    nanoseconds usual_time_ = milliseconds{8};
    prometheus::Counter& sent_;
    prometheus::Counter& unanswered_;
};

} // namespace sniperock

/** @file upstream_probe.hpp Probes the load and health of upstreams. */
#pragma once

#include "choice_distance.hpp"
#include "quarantine.hpp"
#include "upstream_limit.hpp"
#include "upstream_pool.hpp"
#include "upstream_type.hpp"
#include "wire_dialect.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace sniperock {

/** An upstream that answered a probe, and the connection that carried the answer. */
struct probe_answer {
    upstream_ptr target;
    /** A connection that has just worked; null if the report was received in another way. */
    std::shared_ptr<http_connection> connection;
};

/**
 * Probes sent together for one choice. The choice uses the answers received within its wait; a
 * later answer still updates the state of its upstream.
 */
class probe_round {
public:
    explicit probe_round(const asio::any_io_executor& executor) : changed(executor) {}

    std::vector<probe_answer> answers;
    std::size_t pending = 0;
    /** The choice does not wait for further answers. */
    bool closed = false;
    async_signal changed;
};

/** Sends probes and updates upstreams from their answers, or from the lack of an answer. */
class upstream_prober {
public:
    upstream_prober(asio::io_context& io, upstream_pool& pool, const wire_dialect& dialect,
                    request_quarantine& quarantine, metrics& metrics_registry);

    /** Starts a probe of @p target in @p round. */
    void start(const std::shared_ptr<probe_round>& round, const upstream_ptr& target,
               const std::string& health_path);
    /** Updates load report and cold state of an upstream from the headers of an answer. */
    void apply_headers(upstream& item, const http_headers& headers, local_time now) const;
    /** Updates the limit of an upstream from the headers of an answer to a request or a probe that
     * was sent at @p sent_at. */
    void apply_limit(upstream& item, const http_headers& headers, limit_source source,
                     local_time sent_at) const;
    /** Moving average of the answer time of probes. */
    [[nodiscard]] nanoseconds average_time() const { return average_time_; }
    /** The distances between failure domains according to the probes. */
    [[nodiscard]] const domain_distances& distances() const { return distances_; }

private:
    task<> run(std::shared_ptr<probe_round> round, upstream_ptr target, std::string health_path);
    task<bool> send_probe(std::shared_ptr<http_connection> connection, upstream_ptr target,
                          std::string health_path, nanoseconds timeout);
    void apply_answer(upstream& item, http_head& head, local_time sent_at) const;

    asio::io_context& io_;
    upstream_pool& pool_;
    const wire_dialect& dialect_;
    request_quarantine& quarantine_;
    /** Initial value: a round trip within a region and the processing time of the upstream. */
    nanoseconds average_time_ = milliseconds{8};
    domain_distances distances_;
    prometheus::Counter& sent_;
    prometheus::Counter& unanswered_;
};

} // namespace sniperock

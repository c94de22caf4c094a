/** @file call_picker.hpp Finds the upstream for a request and waits for a free slot. */
#pragma once

#include "call_context.hpp"
#include "caller_exchange.hpp"

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace sniperock {

/** What a choice was made on; logged with its outcome. */
struct choice_basis {
    /** Requests that ran or waited there. */
    unsigned busy = 0;
    unsigned slots = 0;
    double slowness = 1;
    bool cold = false;
    /** Age of the report; empty if there was none. */
    std::optional<nanoseconds> report_age;
};

/** What a search for an upstream met; logged with the call. */
struct search_record {
    /** Times that upstreams were looked at, and how many in all. */
    std::size_t looks = 0;
    std::size_t looked_at = 0;
    /** Of these: had no fresh report, were full, were held back because they are cold. */
    std::size_t unknown = 0;
    std::size_t full = 0;
    std::size_t cold_held = 0;
    /** Expected time at the best one of the last look, in ms; empty if none could take it. */
    std::optional<double> best_ms;
};

/** An upstream that takes the request; the slot is counted as used until release_slot(). */
struct picked_upstream {
    upstream_ptr target;
    /** A connection that has just answered a probe; null if there is none. */
    std::shared_ptr<http_connection> connection;
    /** What was known of it when it was chosen. */
    choice_basis basis;
};

/** What is asked of the picker. */
struct pick_request {
    const route* where = nullptr;
    std::string service;
    /** Null if the service is not configured; lives as long as the route. */
    const service_config* service_settings = nullptr;
    request_estimate estimate;
    /** Ids of upstreams that have had the request. */
    std::set<std::string> tried;
    /** When the request arrived. */
    local_time arrived;
    /** It may wait for a free slot and look for a faster upstream. */
    bool may_wait = true;
    /** The search ends at this time at the latest. */
    local_time deadline;
};

/** Why there is no upstream. */
enum class pick_failure { none, no_upstream, no_slot };

struct pick_result {
    std::optional<picked_upstream> picked;
    pick_failure failure = pick_failure::none;
    search_record record;
};

/** Counts a request out of its upstream. */
void release_slot(upstream& item);

/**
 * Finds an upstream.
 * @param cancelled looked at between probes; the search ends when it becomes true.
 */
task<pick_result> pick_upstream(call_context& context, pick_request request,
                                std::shared_ptr<const bool> cancelled);

} // namespace sniperock

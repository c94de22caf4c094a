/** @file call_picker.hpp Finds the upstream for a request and waits for a free slot. */
#pragma once

#include "call_context.hpp"
#include "caller_exchange.hpp"

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace sniperock {

/** An upstream that takes the request; the slot is counted as used until release_slot(). */
struct picked_upstream {
    upstream_ptr target;
    /** A connection that has just answered a probe; null if there is none. */
    std::shared_ptr<upstream_connection> connection;
    /** Slowness that it reported. */
    double slowness = 1;
};

/** What is asked of the picker. */
struct pick_request {
    const route* where = nullptr;
    std::string service;
    request_estimate estimate;
    /** Ids of upstreams that have had the request. */
    std::set<std::string> tried;
    /** Up to when the request may wait for a free slot. */
    local_time wait_until;
};

/** Why there is no upstream. */
enum class pick_failure { none, no_upstream, no_slot };

struct pick_result {
    std::optional<picked_upstream> picked;
    pick_failure failure = pick_failure::none;
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

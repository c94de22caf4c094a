/** @file call_picker.hpp Selects the upstream for a request and waits for a free slot. */
#pragma once

#include "call_context.hpp"
#include "caller_exchange.hpp"
#include "choice_domain.hpp"

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace sniperock {

/** State of the upstream on which a choice was based; logged with the outcome. */
struct choice_basis {
    /** Requests that were running or waiting at the upstream. */
    unsigned busy = 0;
    unsigned slots = 0;
    double slowness = 1;
    bool cold = false;
    /** Age of the load report; empty if there was none. */
    std::optional<nanoseconds> report_age;
    /** Home, or why upstreams in other failure domains were looked at. */
    domain_reason domain = domain_reason::any;
};

/** Statistics of a search for an upstream; logged with the call. */
struct search_record {
    /** Selection rounds, and candidates evaluated over all rounds. */
    std::size_t looks = 0;
    std::size_t looked_at = 0;
    /** Candidates with a fresh load report. */
    std::size_t answered = 0;
    /** Rejected candidates: without a fresh load report, without a free slot, over the limit for
     * cold upstreams, over the limit that they advertise. */
    std::size_t unknown = 0;
    std::size_t full = 0;
    std::size_t cold_held = 0;
    std::size_t limit_held = 0;
    /** Rounds in which a free slot was left to other VMs. */
    std::size_t left = 0;
    /** Expected time in ms at the best candidate of the last round; empty if none was eligible. */
    std::optional<double> best_ms;
};

/** The selected upstream; its slot counts as used until release_slot(). */
struct picked_upstream {
    upstream_ptr target;
    /** A connection on which the upstream has just answered a probe; null if there is none. */
    std::shared_ptr<http_connection> connection;
    /** State of the upstream when it was chosen. */
    choice_basis basis;
};

/** Parameters of a search for an upstream. */
struct pick_request {
    const route* matched_route = nullptr;
    std::string service;
    /** Null if the service is not configured; has the lifetime of the route. */
    const service_config* service_settings = nullptr;
    request_estimate estimate;
    /** Versions of the service that the request may be sent to. */
    version_choice versions = version_choice::any;
    /** Ids of upstreams that were already selected for the request; they are excluded. */
    std::set<std::string> tried;
    local_time arrived;
    /** The search may wait for a free slot or for a faster upstream. */
    bool may_wait = true;
    /** Latest end of the search. */
    local_time deadline;
};

/** Why no upstream was selected. */
enum class pick_failure { none, no_upstream, no_slot, limited, quarantined };

struct pick_result {
    std::optional<picked_upstream> picked;
    pick_failure failure = pick_failure::none;
    search_record record;
};

/** Frees the slot that a request used at an upstream. */
void release_slot(upstream& item);

/**
 * Selects an upstream for a request.
 * @param cancelled checked between selection rounds; the search ends when it becomes true.
 */
task<pick_result> pick_upstream(call_context& context, pick_request request,
                                std::shared_ptr<const bool> cancelled);

} // namespace sniperock

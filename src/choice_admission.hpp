/** @file choice_admission.hpp Decides whether a request accepts the best upstream found, searches
 * again or is refused. */
#pragma once

#include "clock_type.hpp"

#include <optional>

namespace sniperock {

/** Input of decide_admission(). */
struct admission_input {
    /** Time since the request arrived. */
    nanoseconds elapsed{0};
    /** Latency up to which the answer has its full value. */
    milliseconds target_latency{0};
    /** Expected latency at the best upstream with a free slot; empty if no upstream has one. */
    std::optional<double> best_ms;
    /** Maximum time to search while no slot is free, as a fraction of the target latency. */
    double wait_share = 0;
    /** Maximum time to search while only upstreams that would miss the target latency have free
     * slots, as a fraction of the target latency. */
    double search_share = 0;
};

enum class admission { accept, search_again, refuse };

/**
 * An upstream that is expected to answer within the target latency is accepted at once. While only
 * slower upstreams have free slots, the request keeps searching, since load shifts within
 * milliseconds. After that it is refused and may be retried: a late answer is worth little to the
 * caller, and it would occupy a slot that other requests need to meet their targets. Without any
 * free slot, the request is refused early, so that a retry can still meet the target.
 */
admission decide_admission(const admission_input& input);

} // namespace sniperock

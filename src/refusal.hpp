/** @file refusal.hpp Computes the delay after which a refused caller should retry. */
#pragma once

#include "clock_type.hpp"
#include "random_type.hpp"

#include <string>

namespace sniperock {

/** Target latency assumed for a request of unknown route; in the middle of typical targets. */
inline constexpr milliseconds default_target_latency{500};

/** Formats a delay for the Retry-After header: seconds with three decimals. */
std::string format_retry_after(milliseconds delay);

/** A request that is refused and may come back. */
struct refused_request {
    /** Latency up to which the answer has its full value. */
    milliseconds target_latency = default_target_latency;
    /** Time that the caller will still wait. */
    milliseconds remaining{0};
    /** Time since the request arrived. */
    nanoseconds elapsed{0};
    /** Processing time at an upstream of normal speed, in ms; 0 if unknown. */
    double work_ms = 0;
    /** It was refused in favour of more urgent requests. */
    bool yielded = false;
};

/**
 * Delay after which a refused caller is asked to retry. It has jitter, so that callers refused at
 * the same time do not retry at the same time. A retry that can still be served in time comes back
 * before it is too late for that; one that has yielded to more urgent requests comes back in the
 * later half of this time. One that will be late anyway is spread over a longer time, so that it
 * does not take the slots of requests that are not late yet.
 */
milliseconds retry_delay(const refused_request& refused, random_engine& random);

} // namespace sniperock

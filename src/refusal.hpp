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

/**
 * Delay after which a refused caller is asked to retry. It is short relative to the target latency,
 * so that the retry can still be served in time, and has jitter, so that callers refused at the
 * same time do not retry at the same time.
 * @param target_latency latency up to which the answer has its full value.
 * @param remaining time that the caller will still wait.
 */
milliseconds retry_delay(milliseconds target_latency, milliseconds remaining,
                         random_engine& random);

} // namespace sniperock

/** @file refusal.hpp When a refused caller should come back. */
#pragma once

#include "clock_type.hpp"
#include "random_type.hpp"

#include <string>

namespace sniperock {

/** Target that is assumed where the route is not known; a middle of usual targets. */
inline constexpr milliseconds default_target_latency{500};

/** A pause as the header gives it: seconds with three decimals. */
std::string format_retry_after(milliseconds pause);

/**
 * The pause that a refused caller is asked for: short against its target, so that it can still be
 * served in time, and spread, so that those refused together do not come back together.
 * @param target time within which the answer has its full worth.
 * @param left time that the caller still waits.
 */
milliseconds retry_delay(milliseconds target, milliseconds left, random_engine& random);

} // namespace sniperock

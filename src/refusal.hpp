/** @file refusal.hpp When a refused caller should come back. */
#pragma once

#include "clock_type.hpp"
#include "random_type.hpp"

namespace sniperock {

/**
 * The pause that a refused caller is asked for: short against its target, so that it can still be
 * served in time, and spread, so that those refused together do not come back together.
 * @param target time within which the answer has its full worth.
 * @param left time that the caller still waits.
 */
milliseconds pause_before_return(milliseconds target, milliseconds left, random_engine& random);

} // namespace sniperock

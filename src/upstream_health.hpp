/** @file upstream_health.hpp Notes that an upstream went silent or answers again. */
#pragma once

#include "upstream_type.hpp"

namespace sniperock {

/** A connection or a probe had no answer; the first time after an answer is logged. */
void note_silent(upstream& item, local_time now);
/** Something came back; the first time after a silence is logged. */
void note_answered(upstream& item);

} // namespace sniperock

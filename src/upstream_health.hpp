/** @file upstream_health.hpp Records and logs that an upstream stops or resumes answering. */
#pragma once

#include "upstream_type.hpp"

namespace sniperock {

/** Records that a connection or a probe had no answer; logs the first one after an answer.
 * @param refused nothing listens at its address. */
void handle_no_response(upstream& item, bool refused, local_time now);
/** Records an answer; logs the first one after missing answers. */
void handle_response(upstream& item);

} // namespace sniperock

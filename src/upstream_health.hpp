/** @file upstream_health.hpp Records and logs that an upstream stops or resumes answering. */
#pragma once

#include "quarantine.hpp"
#include "upstream_type.hpp"

namespace sniperock {

/** Records that the connection of a request was lost: its upstream may have ended while running it.
 * @return true if that is to be found out; otherwise it is known already. */
bool handle_lost_run(upstream& item, request_fingerprint request, request_quarantine& quarantine,
                     local_time now);
/** Records that the upstream's process has ended; the requests that were lost then were running. */
void handle_process_end(upstream& item, request_quarantine& quarantine, local_time now);

/** Records that a connection or a probe had no answer; logs the first one after an answer.
 * @param refused nothing listens at its address. */
void handle_no_response(upstream& item, bool refused, local_time now);
/** Records an answer; logs the first one after missing answers. */
void handle_response(upstream& item, local_time now);

} // namespace sniperock

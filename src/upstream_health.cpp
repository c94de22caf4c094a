/** @file upstream_health.cpp Records and logs that an upstream stops or resumes answering. */
#include "upstream_health.hpp"

#include "event_type.hpp"

namespace sniperock {

void handle_no_response(upstream& item, bool refused, local_time now)
{
    if (item.failures.record_no_response(now)) {
        log_event(event::upstream_silent, {{"upstream", item.entry.id},
                                           {"service", item.entry.service},
                                           {"reason", refused ? "refused" : "unanswered"}});
    }
}

void handle_response(upstream& item)
{
    if (item.failures.record_response()) {
        log_event(event::upstream_back,
                  {{"upstream", item.entry.id}, {"service", item.entry.service}});
    }
}

} // namespace sniperock

/** @file upstream_health.cpp Notes that an upstream went silent or answers again. */
#include "upstream_health.hpp"

#include "event_type.hpp"

namespace sniperock {

void note_silent(upstream& item, local_time now)
{
    if (item.failures.record_no_response(now)) {
        log_event(event::upstream_silent,
                  {{"upstream", item.entry.id}, {"service", item.entry.service}});
    }
}

void note_answered(upstream& item)
{
    if (item.failures.answered()) {
        log_event(event::upstream_back,
                  {{"upstream", item.entry.id}, {"service", item.entry.service}});
    }
}

} // namespace sniperock

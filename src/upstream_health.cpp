/** @file upstream_health.cpp Records and logs that an upstream stops or resumes answering. */
#include "upstream_health.hpp"

#include "event_type.hpp"
#include "hash_func.hpp"

#include <utility>

namespace sniperock {
namespace {

/** A lost connection and the end of a process are the same event if no more time is between them;
 * an upstream restarts in longer than that. */
constexpr milliseconds same_event_time{1000};
/** Lost requests that are remembered for one upstream; it runs no more at a time. */
constexpr std::size_t max_lost_runs = 32;

void report_end(const upstream& item, request_fingerprint request, request_quarantine& quarantine,
                local_time now)
{
    const auto& entry = item.entry;
    log_event(
        event::request_suspected,
        {{"request", hex_text(request.value)}, {"upstream", entry.id}, {"service", entry.service}});
    const upstream_process process{
        stable_hash(entry.id, static_cast<std::uint64_t>(entry.start_time_ms))};
    quarantine.record_end(request, process, now);
}

} // namespace

bool handle_lost_run(upstream& item, request_fingerprint request, request_quarantine& quarantine,
                     local_time now)
{
    if (item.ended_at && now - *item.ended_at < same_event_time) {
        report_end(item, request, quarantine, now);
        return false;
    }
    std::erase_if(item.lost_runs,
                  [now](const lost_run& run) { return now - run.lost_at >= same_event_time; });
    if (item.lost_runs.size() < max_lost_runs) {
        item.lost_runs.push_back({request, now});
    }
    return true;
}

void handle_process_end(upstream& item, request_quarantine& quarantine, local_time now)
{
    if (!item.ended_at) {
        item.ended_at = now;
    }
    for (const auto& run : std::exchange(item.lost_runs, {})) {
        if (now - run.lost_at < same_event_time) {
            report_end(item, run.request, quarantine, now);
        }
    }
}

void handle_no_response(upstream& item, bool refused, local_time now)
{
    if (!item.silent_since) {
        item.silent_since = now;
    }
    if (item.failures.record_no_response(now)) {
        log_event(event::upstream_silent, {{"upstream", item.entry.id},
                                           {"service", item.entry.service},
                                           {"reason", refused ? "refused" : "unanswered"}});
    }
}

void handle_response(upstream& item, local_time now)
{
    item.answered_at = now;
    item.silent_since.reset();
    item.ended_at.reset();
    if (item.failures.record_response()) {
        log_event(event::upstream_back,
                  {{"upstream", item.entry.id}, {"service", item.entry.service}});
    }
}

} // namespace sniperock

/** @file call_log.cpp Log lines about calls. */
#include "call_log.hpp"

#include "event_type.hpp"
#include "hash_func.hpp"

#include <limits>

namespace sniperock {
namespace {

/** True for the share @p part of all ids. */
bool sampled(const std::string& id, double part)
{
    const auto hash = static_cast<double>(stable_hash(id));
    return hash < part * static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

constexpr int first_client_error = 400;

} // namespace

void log_call(const call_summary& summary, const entry_settings& settings)
{
    const bool known = summary.where != nullptr;
    const bool late = known && summary.took > summary.where->target_latency;
    const bool well = summary.end == call_end::answered && summary.status < first_client_error &&
                      summary.sends <= 1 && !late;
    if (well && !sampled(summary.id, settings.log_sample)) {
        return;
    }
    log_event(well ? event::call_ended : event::call_troubled,
              {{"id", summary.id},
               {"route", known ? summary.where->name : ""},
               {"service", summary.service},
               {"end", std::string{to_name(summary.end)}},
               {"status", std::to_string(summary.status)},
               {"sends", std::to_string(summary.sends)},
               {"runs", std::to_string(summary.runs)},
               {"ms", std::to_string(summary.took.count())},
               {"target_ms", std::to_string(known ? summary.where->target_latency.count() : 0)}});
}

void log_attempt(const std::string& id, const std::string& service, const call_attempt& attempt)
{
    const auto& target = attempt.target();
    const auto now = boot_clock::now();
    const auto ms = [](nanoseconds time) {
        return std::to_string(std::chrono::duration_cast<milliseconds>(time).count());
    };
    log_event(event::attempt_failed,
              {{"id", id},
               {"service", service},
               {"upstream", target.entry.id},
               {"end", std::string{to_name(attempt.end().value_or(attempt_end::cancelled))}},
               {"status", std::to_string(attempt.status())},
               {"ms", ms(now - attempt.started())},
               {"running", target.report ? std::to_string(target.report->running) : "?"},
               {"waiting", target.report ? std::to_string(target.report->waiting) : "?"},
               {"slots", std::to_string(target.entry.slots)},
               {"report_age_ms", target.report ? ms(now - target.reported_at) : "?"}});
}

} // namespace sniperock

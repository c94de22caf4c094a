/** @file call_log.cpp Log lines about calls. */
#include "call_log.hpp"

#include "event_type.hpp"
#include "hash_func.hpp"

#include <limits>

namespace sniperock {
namespace {

/** True for the fraction @p fraction of all ids. */
bool is_sampled(const std::string& id, double fraction)
{
    const auto hash = static_cast<double>(stable_hash(id));
    return hash < fraction * static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

std::string ms_text(nanoseconds time)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(time).count());
}

std::string percent_text(double factor)
{
    constexpr double percent = 100;
    return std::to_string(static_cast<int>(factor * percent));
}

std::string integer_text(std::optional<double> value)
{
    return value ? std::to_string(static_cast<std::int64_t>(*value)) : std::string{};
}

/** Home, or why the upstream was looked for in other failure domains; empty without an attempt. */
std::string domain_text(const call_attempt* attempt)
{
    return attempt == nullptr ? std::string{} : std::string{to_name(attempt->basis().domain)};
}

} // namespace

void log_call(const call_summary& summary, const entry_settings& settings)
{
    const bool has_route = summary.matched_route != nullptr;
    const bool late = has_route && summary.took > summary.matched_route->target_latency;
    const bool normal = summary.end == call_end::answered &&
                        summary.status < http_status::first_client_error && summary.sends <= 1 &&
                        !late;
    const bool sampled =
        normal || summary.end == call_end::unknown_account || summary.end == call_end::over_quota;
    if (sampled && !is_sampled(summary.id, settings.log_sample)) {
        return;
    }
    const auto* const attempt = summary.attempt;
    const choice_basis basis = attempt == nullptr ? choice_basis{} : attempt->basis();
    log_event(normal ? event::call_ended : event::call_troubled,
              {{"id", summary.id},
               {"request", hex_text(summary.fingerprint.value)},
               {"account", summary.account},
               {"route", has_route ? summary.matched_route->name : ""},
               {"service", summary.service},
               {"end", std::string{to_name(summary.end)}},
               {"status", std::to_string(summary.status)},
               {"sends", std::to_string(summary.sends)},
               {"runs", std::to_string(summary.runs)},
               {"ms", std::to_string(summary.took.count())},
               {"target_ms",
                std::to_string(has_route ? summary.matched_route->target_latency.count() : 0)},
               {"upstream", attempt == nullptr ? "" : attempt->target().entry.id},
               {"sent_ms", attempt == nullptr ? "" : ms_text(attempt->started() - summary.arrived)},
               {"busy", std::to_string(basis.busy)},
               {"slots", std::to_string(basis.slots)},
               {"slowness", percent_text(basis.slowness)},
               {"cold", basis.cold ? "1" : "0"},
               {"report_age_ms", basis.report_age ? ms_text(*basis.report_age) : ""},
               {"looks", std::to_string(summary.search.looks)},
               {"looked_at", std::to_string(summary.search.looked_at)},
               {"unknown", std::to_string(summary.search.unknown)},
               {"full", std::to_string(summary.search.full)},
               {"cold_held", std::to_string(summary.search.cold_held)},
               {"limit_held", std::to_string(summary.search.limit_held)},
               {"left", std::to_string(summary.search.left)},
               {"best_ms", integer_text(summary.search.best_ms)},
               {"urgent_refused", percent_text(summary.urgent_refused)},
               {"domain", domain_text(attempt)}});
}

void log_unknown_account(const std::string& route, bool has_credentials, std::size_t refused)
{
    log_event(event::account_unknown, {{"route", route},
                                       {"reason", has_credentials ? "unknown-key" : "no-key"},
                                       {"refused", std::to_string(refused)}});
}

void log_over_quota(const std::string& account, milliseconds retry_after, std::size_t refused)
{
    log_event(event::account_over_quota, {{"account", account},
                                          {"refused", std::to_string(refused)},
                                          {"retry_after_ms", std::to_string(retry_after.count())}});
}

void log_repeat_denied(const std::string& id, const std::string& service, repeat_verdict verdict)
{
    log_event(event::repeat_denied,
              {{"id", id}, {"service", service}, {"reason", std::string{to_name(verdict)}}});
}

void log_hedge(const std::string& id, const std::string& service, const std::string& first,
               nanoseconds waited, const call_attempt& second)
{
    const auto& basis = second.basis();
    log_event(event::call_hedged,
              {{"id", id},
               {"service", service},
               {"first", first},
               {"ms", ms_text(waited)},
               {"upstream", second.target().entry.id},
               {"busy", std::to_string(basis.busy)},
               {"slots", std::to_string(basis.slots)},
               {"slowness", percent_text(basis.slowness)},
               {"cold", basis.cold ? "1" : "0"},
               {"report_age_ms", basis.report_age ? ms_text(*basis.report_age) : ""}});
}

void log_incomplete_answer(const std::string& id, const std::string& service,
                           const std::string& upstream, call_end reason, int status)
{
    log_event(event::answer_incomplete, {{"id", id},
                                         {"service", service},
                                         {"upstream", upstream},
                                         {"reason", std::string{to_name(reason)}},
                                         {"status", std::to_string(status)}});
}

void log_failed_attempt(const std::string& id, request_fingerprint fingerprint,
                        const std::string& service, const call_attempt& attempt)
{
    const auto& basis = attempt.basis();
    log_event(event::attempt_failed,
              {{"id", id},
               {"request", hex_text(fingerprint.value)},
               {"service", service},
               {"end", std::string{to_name(attempt.end().value_or(attempt_end::cancelled))}},
               {"status", std::to_string(attempt.status())},
               {"ms", ms_text(boot_clock::now() - attempt.started())},
               {"upstream", attempt.target().entry.id},
               {"busy", std::to_string(basis.busy)},
               {"slots", std::to_string(basis.slots)},
               {"slowness", percent_text(basis.slowness)},
               {"cold", basis.cold ? "1" : "0"},
               {"report_age_ms", basis.report_age ? ms_text(*basis.report_age) : ""}});
}

} // namespace sniperock

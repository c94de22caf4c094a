/** @file upstream_limit.cpp Tracks the request rate that an upstream advertises as its limit. */
#include "upstream_limit.hpp"

#include "event_type.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <iterator>
#include <string>

namespace sniperock {
namespace {

/** A limit that changes by less than this fraction is not logged again. */
constexpr double min_logged_change = 0.2;
/** An answer is reported to other VMs for this time. */
constexpr seconds report_time{5};
/** A report is newer only by more than this, since its age lacks the time that it was on its way.
 */
constexpr milliseconds report_delay{250};

std::string rate_text(double per_s)
{
    std::array<char, 32> text{};
    const auto size = std::snprintf(text.data(), text.size(), "%.2f", per_s);
    return {text.data(), static_cast<std::size_t>(size)};
}

void log_limit(upstream& item, double per_s, limit_source source)
{
    auto& state = *item.limit;
    if (state.logged_per_s &&
        std::abs(*state.logged_per_s - per_s) <= min_logged_change * *state.logged_per_s) {
        return;
    }
    state.logged_per_s = per_s;
    log_event(event::upstream_limited, {{"upstream", item.entry.id},
                                        {"service", item.entry.service},
                                        {"per_s", rate_text(per_s)},
                                        {"source", std::string{to_name(source)}}});
}

void end_limit(upstream& item, limit_source source, local_time observed_at)
{
    item.limit->per_s.reset();
    item.limit->logged_per_s.reset();
    item.limit->observed_at = observed_at;
    log_event(event::upstream_unlimited, {{"upstream", item.entry.id},
                                          {"service", item.entry.service},
                                          {"source", std::string{to_name(source)}}});
}

} // namespace

void observe_limit(upstream& item, const limit_observation& observation, local_time now)
{
    auto& state = item.limit;
    if (!observation.per_s) {
        const bool ends =
            state && state->per_s && observation.sent_at > state->observed_at &&
            (observation.source == limit_source::probe ? state->in_probes : state->in_answers);
        if (ends) {
            end_limit(item, observation.source, now);
        }
        return;
    }
    if (!state) {
        state = std::make_shared<upstream_limit>();
    }
    state->per_s = observation.per_s;
    state->observed_at = now;
    (observation.source == limit_source::probe ? state->in_probes : state->in_answers) = true;
    log_limit(item, *observation.per_s, observation.source);
}

std::vector<limit_report> recent_limits(const upstream_registry& registry, std::size_t max_reports,
                                        random_engine& random, local_time now)
{
    std::vector<const upstream*> recent;
    registry.for_each([&](const upstream& item) {
        if (item.limit && now - item.limit->observed_at < report_time) {
            recent.push_back(&item);
        }
    });
    std::vector<const upstream*> picked;
    std::ranges::sample(recent, std::back_inserter(picked),
                        static_cast<std::ptrdiff_t>(max_reports), random);
    std::vector<limit_report> reports;
    std::ranges::transform(picked, std::back_inserter(reports), [now](const upstream* item) {
        const auto& limit = *item->limit;
        return limit_report{item->entry.id, limit.per_s, limit.in_probes, limit.in_answers,
                            std::chrono::duration_cast<milliseconds>(now - limit.observed_at)};
    });
    return reports;
}

void apply_limit_report(const upstream_registry& registry, const limit_report& report,
                        local_time now)
{
    auto* const item = registry.find(report.upstream_id);
    if (item == nullptr || report.age >= report_time) {
        return;
    }
    const auto observed_at = now - report.age;
    auto& state = item->limit;
    if (state ? observed_at <= state->observed_at + report_delay : !report.per_s) {
        return;
    }
    if (!report.per_s) {
        if (state->per_s) {
            end_limit(*item, limit_source::peer, observed_at);
        }
        return;
    }
    if (!state) {
        state = std::make_shared<upstream_limit>();
    }
    state->per_s = report.per_s;
    state->observed_at = observed_at;
    state->in_probes = state->in_probes || report.in_probes;
    state->in_answers = state->in_answers || report.in_answers;
    log_limit(*item, *report.per_s, limit_source::peer);
}

} // namespace sniperock

/** @file upstream_limit.cpp Tracks the request rate that an upstream advertises as its limit. */
#include "upstream_limit.hpp"

#include "event_type.hpp"

#include <array>
#include <cmath>
#include <cstdio>
#include <string>

namespace sniperock {
namespace {

/** A limit that changes by less than this fraction is not logged again. */
constexpr double min_logged_change = 0.2;

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

void end_limit(upstream& item, limit_source source, local_time now)
{
    item.limit->per_s.reset();
    item.limit->logged_per_s.reset();
    item.limit->observed_at = now;
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

} // namespace sniperock

/** @file call_metrics.cpp What is counted and measured about calls. */
#include "call_metrics.hpp"

namespace sniperock {

namespace {

/** Series of calls; operators add and remove routes all the time, and a series is kept for ever. */
constexpr std::size_t most_series = 250;
/** Takes the place of routes beyond that. */
constexpr const char* other_routes = "other";

} // namespace

call_metrics::call_metrics(metrics& registry)
    : repeats(registry.counter("sniperock_repeats_total", "Requests sent once more",
                               {{"what", "retry"}})),
      hedges(registry.counter("sniperock_repeats_total", "Requests sent once more",
                              {{"what", "hedge"}})),
      repeats_denied(registry.counter("sniperock_repeats_denied_total",
                                      "Requests not sent once more for want of budget")),
      cold_denied(
          registry.counter("sniperock_cold_denied_total",
                           "Choices that passed a cold upstream over because of its limit")),
      registry_(registry)
{
}

void call_metrics::ended(const std::string& service, const std::string& route, call_end end,
                         double seconds)
{
    const auto known = calls_.find({service, route, end});
    if (known != calls_.end()) {
        known->second->Observe(seconds);
        return;
    }
    const bool room = calls_.size() < most_series;
    auto& series = calls_[{service, room ? route : other_routes, end}];
    if (series == nullptr) {
        series = &registry_.latency("sniperock_call_seconds", "Time from request to answer",
                                    {{"service", service},
                                     {"route", room ? route : other_routes},
                                     {"end", std::string{to_name(end)}}});
    }
    series->Observe(seconds);
}

void call_metrics::attempt_ended(const std::string& service, attempt_end end)
{
    auto& series = attempts_[{service, end}];
    if (series == nullptr) {
        series = &registry_.counter("sniperock_attempts_total", "Attempts at upstreams",
                                    {{"service", service}, {"end", std::string{to_name(end)}}});
    }
    series->Increment();
}

} // namespace sniperock

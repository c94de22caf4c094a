/** @file call_metrics.cpp What is counted and measured about calls. */
#include "call_metrics.hpp"

namespace sniperock {

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

void call_metrics::ended(const std::string& service, int priority, call_end end, double seconds)
{
    auto& series = calls_[{service, {priority, end}}];
    if (series == nullptr) {
        series = &registry_.latency("sniperock_call_seconds", "Time from request to answer",
                                    {{"service", service},
                                     {"priority", std::to_string(priority)},
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

/** @file call_metrics.cpp Metrics of calls and attempts. */
#include "call_metrics.hpp"

namespace sniperock {

namespace {

/** Limit on call series: operators add and remove routes all the time, and series are never
 * removed. */
constexpr std::size_t max_series = 250;
/** Label of the routes and accounts beyond their limits. */
constexpr const char* other_label = "other";
/** Limit on series of accounts, of which some three are used for each: the accounts that this VM
 * sees first, which mostly are the large ones. */
constexpr std::size_t max_account_series = 300;

/** What an account's caller got, as a label. */
std::string_view account_outcome(call_end end)
{
    if (end == call_end::answered || end == call_end::abandoned) {
        return to_name(end);
    }
    return status_of(end) == http_status::bad_gateway ||
                   status_of(end) == http_status::gateway_timeout
               ? "failed"
               : "refused";
}

} // namespace

call_metrics::call_metrics(metrics& registry)
    : repeats(registry.counter("sniperock_repeats_total", "Requests sent once more",
                               {{"what", "retry"}})),
      hedges(registry.counter("sniperock_repeats_total", "Requests sent once more",
                              {{"what", "hedge"}})),
      repeats_denied(registry.counter("sniperock_repeats_denied_total",
                                      "Requests not sent once more for want of budget")),
      relays(registry.counter("sniperock_relays_total",
                              "Requests passed on to another VM, as no upstream is in reach")),
      cold_denied(
          registry.counter("sniperock_cold_denied_total",
                           "Choices that passed a cold upstream over because of its limit")),
      limit_denied(registry.counter(
          "sniperock_limit_denied_total",
          "Choices that passed an upstream over because of the limit that it advertises")),
      registry_(registry)
{
}

void call_metrics::record_call(const std::string& service, const std::string& route, call_end end,
                               double seconds)
{
    const auto cached = calls_.find({service, route, end});
    if (cached != calls_.end()) {
        cached->second->Observe(seconds);
        return;
    }
    const bool below_limit = calls_.size() < max_series;
    auto& series = calls_[{service, below_limit ? route : other_label, end}];
    if (series == nullptr) {
        series = &registry_.latency("sniperock_call_seconds", "Time from request to answer",
                                    {{"service", service},
                                     {"route", below_limit ? route : other_label},
                                     {"end", std::string{to_name(end)}}});
    }
    series->Observe(seconds);
}

void call_metrics::record_account_call(const std::string& account, call_end end)
{
    const auto outcome = account_outcome(end);
    const auto cached = account_calls_.find({account, outcome});
    if (cached != account_calls_.end()) {
        cached->second->Increment();
        return;
    }
    const bool below_limit = account_calls_.size() < max_account_series;
    const std::string label = below_limit ? account : other_label;
    auto& series = account_calls_[{label, outcome}];
    if (series == nullptr) {
        series = &registry_.counter("sniperock_account_calls_total", "Calls of client accounts",
                                    {{"account", label}, {"what", std::string{outcome}}});
    }
    series->Increment();
}

void call_metrics::record_attempt(const std::string& service, attempt_end end)
{
    auto& series = attempts_[{service, end}];
    if (series == nullptr) {
        series = &registry_.counter("sniperock_attempts_total", "Attempts at upstreams",
                                    {{"service", service}, {"end", std::string{to_name(end)}}});
    }
    series->Increment();
}

} // namespace sniperock

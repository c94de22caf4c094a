/** @file edge_metrics.cpp Registers the metrics of the callers' side. */
#include "edge_metrics.hpp"

namespace sniperock {
namespace {

constexpr const char* calls_name = "sniperock_calls_total";
constexpr const char* calls_help = "Calls by plan, outcome and reason";

} // namespace

plan_series::plan_series(metrics& measured, std::string plan)
    : measured_(measured), plan_(std::move(plan)),
      answered_(&measured.counter(calls_name, calls_help,
                                  {{"plan", plan_}, {"outcome", "answered"}, {"reason", ""}}))
{
    for (const auto& [kind, name] : enum_names<call_class>) {
        latency_.at(static_cast<std::size_t>(kind)) =
            &measured.latency("sniperock_call_seconds", "Time to the end of an answer",
                              {{"plan", plan_}, {"class", std::string{name}}});
    }
}

void plan_series::not_answered(call_outcome outcome, std::string_view reason)
{
    const std::lock_guard lock(mutex_);
    auto& counter = others_[{outcome, std::string{reason}}];
    if (counter == nullptr) {
        counter = &measured_.counter(calls_name, calls_help,
                                     {{"plan", plan_},
                                      {"outcome", std::string{to_name(outcome)}},
                                      {"reason", std::string{reason}}});
    }
    counter->Increment();
}

edge_metrics::edge_metrics(metrics& measured)
    : retries(measured.counter("sniperock_retries_total", "Attempts after a failed one")),
      hedges(measured.counter("sniperock_hedges_total", "Second attempts at slow safe calls")),
      hedges_won(measured.counter("sniperock_hedges_won_total", "Second attempts that won")),
      resumes(measured.counter("sniperock_resumes_total", "Downloads resumed by Range")),
      cancelled(measured.counter("sniperock_cancelled_total", "Calls whose caller went away")),
      cut(measured.counter("sniperock_cut_total", "Answers broken off in mid-body")),
      connections(measured.gauge("sniperock_caller_connections", "Open caller connections")),
      measured_(measured)
{
    for (const auto& [kind, name] : enum_names<refused_input>) {
        refused_.at(static_cast<std::size_t>(kind)) =
            &measured.counter("sniperock_refused_input_total", "Refused input from callers",
                              {{"kind", std::string{name}}});
    }
}

plan_series& edge_metrics::of_plan(const std::string& plan)
{
    const std::lock_guard lock(mutex_);
    auto& series = plans_[plan];
    if (!series) {
        series = std::make_unique<plan_series>(measured_, plan);
    }
    return *series;
}

} // namespace sniperock

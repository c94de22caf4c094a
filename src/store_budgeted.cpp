/** @file store_budgeted.cpp The shared budget and its counts. */
#include "store_budgeted.hpp"

namespace sniperock {

shared_store_budget::shared_store_budget(store_budget_limits limits, local_time now,
                                         metrics& measured)
    : budget_(limits, now), measured_(measured),
      refused_(&measured_.counter("sniperock_store_refused_total",
                                  "Store calls not made because the budget was used up"))
{
    for (const auto& [priority, priority_name] : enum_names<store_priority>) {
        for (const auto& [call, call_name] : enum_names<store_call>) {
            auto& counter = measured_.counter(
                "sniperock_store_calls_total", "Store calls by kind and purpose",
                {{"kind", std::string{call_name}}, {"purpose", std::string{priority_name}}});
            counters_.at(static_cast<std::size_t>(priority)).at(static_cast<std::size_t>(call)) =
                &counter;
        }
    }
}

nanoseconds shared_store_budget::take(store_priority priority, local_time now)
{
    const std::lock_guard lock(mutex_);
    return budget_.take(priority, now);
}

void shared_store_budget::count(store_priority priority, store_call call)
{
    counters_.at(static_cast<std::size_t>(priority))
        .at(static_cast<std::size_t>(call))
        ->Increment();
}

void shared_store_budget::count_refused()
{
    refused_->Increment();
}

} // namespace sniperock

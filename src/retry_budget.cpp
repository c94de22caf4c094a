/** @file retry_budget.cpp This VM's share of the repeats that the fleet may send to a service. */
#include "retry_budget.hpp"

#include <algorithm>

namespace sniperock {
namespace {

/** Part of the bound that is used; the rest covers requests counted in another VM's window. */
constexpr double safe_part = 0.9;

} // namespace

double retry_budget::left(local_time now, std::size_t vms)
{
    const double by_requests = bounds_.ratio * static_cast<double>(requests_.count(now));
    const bool ran_a_window = now - started_ >= bounds_.window;
    const double by_slack =
        ran_a_window ? bounds_.slack / static_cast<double>(std::max<std::size_t>(vms, 1)) : 0;
    return safe_part * (by_requests + by_slack) - static_cast<double>(repeats_.count(now));
}

bool retry_budget::spend(local_time now, std::size_t vms)
{
    if (left(now, vms) < 1) {
        return false;
    }
    repeats_.add(now);
    return true;
}

} // namespace sniperock

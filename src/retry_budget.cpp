/** @file retry_budget.cpp Limits retries to this VM's share of a service's retry budget. */
#include "retry_budget.hpp"

#include <algorithm>

namespace sniperock {
namespace {

/** Fraction of the limit that is used; the rest covers requests that another VM counts in its
 * window. */
constexpr double used_fraction = 0.9;

} // namespace

double retry_budget::remaining(local_time now, std::size_t vms)
{
    const double by_requests = bounds_.ratio * static_cast<double>(requests_.count(now));
    const bool ran_full_window = now - started_ >= bounds_.window;
    const double by_slack =
        ran_full_window ? bounds_.slack / static_cast<double>(std::max<std::size_t>(vms, 1)) : 0;
    return used_fraction * (by_requests + by_slack) - static_cast<double>(retries_.count(now));
}

bool retry_budget::spend(local_time now, std::size_t vms)
{
    if (remaining(now, vms) < 1) {
        return false;
    }
    retries_.add(now);
    return true;
}

} // namespace sniperock

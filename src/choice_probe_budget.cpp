/** @file choice_probe_budget.cpp Limits probes to this VM's share of the fleet's probe rate. */
#include "choice_probe_budget.hpp"

#include <algorithm>

namespace sniperock {
namespace {

/** Fraction of the share that is used; the rest covers VMs that do not know of each other. */
constexpr double used_fraction = 0.8;
/** Capacity of the token bucket in seconds of its refill rate: the length of a typical burst. */
constexpr double capacity_s = 10;

} // namespace

bool probe_budget::spend(const probe_bounds& bounds, local_time now)
{
    const double per_s = used_fraction * bounds.rate * static_cast<double>(bounds.upstreams) /
                         static_cast<double>(std::max<std::size_t>(bounds.vms, 1));
    const double capacity = std::max(per_s * capacity_s, 1.0);
    const std::chrono::duration<double> passed =
        refilled_at_ == local_time{} ? nanoseconds{0} : now - refilled_at_;
    fill_ratio_ = std::min(1.0, fill_ratio_ + per_s * passed.count() / capacity);
    refilled_at_ = now;
    if (fill_ratio_ * capacity < 1) {
        return false;
    }
    fill_ratio_ -= 1 / capacity;
    return true;
}

} // namespace sniperock

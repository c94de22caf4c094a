/** @file choice_probe_budget.cpp This VM's share of the probes that the fleet may send. */
#include "choice_probe_budget.hpp"

#include <algorithm>

namespace sniperock {
namespace {

/** Part of the share that is used; the rest covers VMs that do not know of each other. */
constexpr double safe_part = 0.8;
/** The bucket holds so many seconds' worth of probes: the length of a usual burst. */
constexpr double saved_s = 10;

} // namespace

bool probe_budget::spend(const probe_bounds& bounds, local_time now)
{
    const double per_s = safe_part * bounds.rate * static_cast<double>(bounds.upstreams) /
                         static_cast<double>(std::max<std::size_t>(bounds.vms, 1));
    const double size = std::max(per_s * saved_s, 1.0);
    const std::chrono::duration<double> passed = at_ == local_time{} ? nanoseconds{0} : now - at_;
    fill_ = std::min(1.0, fill_ + per_s * passed.count() / size);
    at_ = now;
    if (fill_ * size < 1) {
        return false;
    }
    fill_ -= 1 / size;
    return true;
}

} // namespace sniperock

/** @file cold_limit.cpp Limits the requests that the whole fleet sends to a cold upstream. */
#include "cold_limit.hpp"

#include <algorithm>

namespace sniperock {
namespace {

/** Requests per second subtracted from the fleet's limit: those that a VM sent before it was
 * replaced within the same second. */
constexpr double restart_margin = 2;

} // namespace

std::size_t cold_fleet_limit(const cold_bounds& bounds)
{
    const double limit = bounds.rate * bounds.overshoot + bounds.slack - restart_margin;
    return limit < 1 ? 0 : static_cast<std::size_t>(limit);
}

bool cold_limit_allows(upstream& item, const cold_bounds& bounds, const fleet_view& fleet,
                       local_time now)
{
    if (bounds.rate <= 0) {
        return true;
    }
    const auto share = vm_share(cold_fleet_limit(bounds), item.entry.id, fleet);
    return item.cold_sends.count(now) < share;
}

} // namespace sniperock

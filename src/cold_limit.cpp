/** @file cold_limit.cpp Bounds what a cold upstream gets from the whole fleet. */
#include "cold_limit.hpp"

#include <algorithm>

namespace sniperock {
namespace {

/** Requests left out of the total: those of a VM that was replaced within the second. */
constexpr double restart_margin = 2;

} // namespace

std::size_t cold_total(const cold_bounds& bounds)
{
    const double most = bounds.rate * bounds.overshoot + bounds.slack - restart_margin;
    return most < 1 ? 0 : static_cast<std::size_t>(most);
}

bool cold_limit_allows(upstream& item, const cold_bounds& bounds, const fleet_view& fleet,
                       local_time now)
{
    if (bounds.rate <= 0) {
        return true;
    }
    const auto share = whole_share(cold_total(bounds), item.entry.id, fleet);
    return item.cold_sends.count(now) < share;
}

} // namespace sniperock

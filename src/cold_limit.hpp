/** @file cold_limit.hpp Bounds what a cold upstream gets from the whole fleet. */
#pragma once

#include "fleet_share.hpp"
#include "upstream_type.hpp"

namespace sniperock {

/** What a cold upstream bears. */
struct cold_bounds {
    /** Requests a second that it states. */
    double rate = 0;
    /** The rate may be exceeded by this factor. */
    double overshoot = 1.5;
    /** And by this number of requests in one second. */
    double slack = 5;
};

/** True if @p item is known to be cold. */
inline bool is_cold(const upstream& item, local_time now)
{
    return now < item.cold_until;
}

/** Requests that the whole fleet may send to a cold upstream in one second. */
std::size_t cold_total(const cold_bounds& bounds);

/** True if this VM may send a request to the cold upstream now. */
bool cold_limit_allows(upstream& item, const cold_bounds& bounds, const fleet_view& fleet,
                       local_time now);

} // namespace sniperock

/** @file cold_limit.hpp Limits the requests that the whole fleet sends to a cold upstream. */
#pragma once

#include "fleet_share.hpp"
#include "upstream_type.hpp"

namespace sniperock {

/** Limits on the requests to a cold upstream. */
struct cold_bounds {
    /** Requests per second that the service states for a cold upstream; 0 if not stated. */
    double rate = 0;
    /** Factor by which the rate may be exceeded. */
    double overshoot = 1.5;
    /** Requests that may be sent in one second in addition to that. */
    double slack = 5;
};

/** True if @p item is known to be cold. */
inline bool is_cold(const upstream& item, local_time now)
{
    return now < item.cold_until;
}

/** Maximum number of requests that the whole fleet may send to a cold upstream in one second. */
std::size_t cold_fleet_limit(const cold_bounds& bounds);

/** True if this VM may send a request to the cold upstream now; always true if no rate is stated.
 */
bool cold_limit_allows(upstream& item, const cold_bounds& bounds, const fleet_view& fleet,
                       local_time now);

} // namespace sniperock

/** @file rate_limit.hpp Divides the limit that an upstream advertises among the VMs. */
#pragma once

#include "fleet_share.hpp"
#include "upstream_type.hpp"

#include <cstddef>

namespace sniperock {

/** This VM's share of the limit of an upstream. */
struct limit_share {
    /** Most requests in any span of this length. */
    std::size_t requests = 0;
    milliseconds window{0};
};

/**
 * The share of a VM in a limit on the whole fleet.
 *
 * A limit of a few requests per second is less than one for each VM and window. Whole requests are
 * then assigned to some VMs, chosen by a hash of upstream and VM. Others are chosen in each further
 * span of limit_rotation without news of the limit, since those chosen may have no caller; then
 * only a part of it is assigned, as VMs that have news use all of it.
 * @param per_s requests per second of the whole fleet, not negative.
 * @param news_age time since an answer last advertised the limit.
 */
limit_share share_of_limit(double per_s, std::string_view upstream_id, nanoseconds news_age,
                           const fleet_view& fleet);

/** Time without news of a limit after which its requests are assigned to other VMs. */
inline constexpr seconds limit_rotation{10};

/** True if this VM may send a request to the upstream now; always true without a limit. */
bool rate_limit_allows(upstream& item, const fleet_view& fleet, local_time now);
/** Counts a request that is about to be sent; needed only for an upstream that has, or had, a
 * limit. */
void count_limited_send(upstream& item, local_time now);

/** Interval at which this VM probes an upstream that its share excludes, to learn of the limit's
 * end; grows with the fleet, as each VM does so. */
nanoseconds excluded_probe_interval(const fleet_view& fleet);

} // namespace sniperock

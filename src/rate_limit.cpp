/** @file rate_limit.cpp Divides the limit that an upstream advertises among the VMs. */
#include "rate_limit.hpp"

#include "upstream_limit.hpp"

#include <algorithm>
#include <string>

namespace sniperock {
namespace {

/** A limit holds over any span of this length. */
constexpr seconds limit_window{4};
/** Covers the difference between sending and arrival. */
constexpr milliseconds arrival_spread{100};
/** Lower limits are treated as this one, so that the end of a limit is noticed. */
constexpr double min_per_s = 1 / std::chrono::duration<double>(max_limit_window).count();
/** VMs without news of a limit use this part of it, to learn whether it still holds. */
constexpr std::size_t trial_divisor = 4;
/** For how long a computed share is used while the limit stays the same. */
constexpr seconds share_max_age{1};
/** An excluded upstream is probed this often by one VM, and by all VMs together. */
constexpr seconds min_probe_interval{1};
constexpr milliseconds fleet_probe_interval{100};

} // namespace

limit_share share_of_limit(double per_s, std::string_view upstream_id, nanoseconds news_age,
                           const fleet_view& fleet)
{
    const double rate = std::max(per_s, min_per_s);
    auto total =
        static_cast<std::size_t>(rate * std::chrono::duration<double>(limit_window).count());
    const auto period = news_age / limit_rotation;
    std::string subject{upstream_id};
    if (period > 0) {
        subject += "/" + std::to_string(period);
        // VMs that have news use the whole limit at the same time.
        total = total == 0 ? 0 : std::max<std::size_t>(total / trial_divisor, 1);
    }
    if (total > 0) {
        return {vm_full_share(total, subject, fleet), limit_window + arrival_spread};
    }
    const std::chrono::duration<double> one_request{1 / rate};
    return {vm_full_share(1, subject, fleet),
            std::chrono::duration_cast<milliseconds>(one_request) + arrival_spread};
}

bool rate_limit_allows(upstream& item, const fleet_view& fleet, local_time now)
{
    const auto per_s = advertised_limit(item);
    if (!per_s) {
        return true;
    }
    auto& state = *item.limit;
    if (state.shared_per_s != per_s || now - state.share_updated_at >= share_max_age) {
        const auto share = share_of_limit(*per_s, item.entry.id, now - state.observed_at, fleet);
        state.share = share.requests;
        state.share_window = share.window;
        state.shared_per_s = per_s;
        state.share_updated_at = now;
    }
    return state.share > 0 && state.sends.count_after(now - state.share_window, now) < state.share;
}

void count_limited_send(upstream& item, local_time now)
{
    if (item.limit) {
        item.limit->sends.add(now);
    }
}

nanoseconds excluded_probe_interval(const fleet_view& fleet)
{
    return std::max<nanoseconds>(min_probe_interval, fleet_probe_interval * fleet.members.size());
}

} // namespace sniperock

/** @file quota_fleet.cpp The VMs among which the quotas of accounts are divided. */
#include "quota_fleet.hpp"

#include <algorithm>
#include <ranges>

namespace sniperock {
namespace {

/** A VM that is silent for so long is gone; an operator ends a longer cut. */
constexpr std::chrono::hours silent_memory{1};
/** The same for a VM that said it would stop; longer than a restart takes. */
constexpr seconds leaving_memory{60};
/** Time in which a VM that starts becomes known to the others, and they to it. */
constexpr milliseconds settle_time{2500};
/** After the loss of all VMs, callers wait for the first that settles. A VM need not wait for the
 * whole time if it has heard of no further one for a while: VMs that start together know each other
 * after two rounds of heartbeats. Its part starts empty, which covers the few that it does not know
 * yet. */
constexpr milliseconds early_settle_time{1200};
constexpr milliseconds unchanged_time{400};
/** A VM whose process has sent more heartbeats than it would have in the lifetime of this one, and
 * this time, is older: VMs that are lost together return together. */
constexpr milliseconds common_start{2000};
/** For so long after its start, a VM that knows no older one takes its parts as unused since then.
 * Later, those that it comes to hold were another VM's. */
constexpr milliseconds common_start_memory{5000};
/** A VM that starts must know this part of the VMs that any other one remembers; the others may
 * know of VMs that are gone. */
constexpr double known_part = 0.95;
/** Time for which it counts how many VMs another one has said to remember. */
constexpr seconds size_lifetime{10};
/** A VM that was not among those alive for this time is silent; they are taken in every second. */
constexpr milliseconds silent_after{2000};
/** Most VMs that are remembered. */
constexpr std::size_t max_known = 5000;

} // namespace

quota_fleet::quota_fleet(std::string self, local_time started, bool alone,
                         milliseconds heartbeat_period)
    : self_(std::move(self)), started_(started), alone_(alone), heartbeat_period_(heartbeat_period),
      names_{self_}
{
}

bool quota_fleet::update(const std::vector<member_entry>& alive, local_time now)
{
    for (const auto& member : alive) {
        known_[member.name] = {now, member.state == member_state::leaving};
        knows_older_ = knows_older_ || is_older(member, now);
    }
    known_[self_] = {now, false};
    std::erase_if(known_, [now](const auto& item) {
        const auto& seen = item.second;
        const nanoseconds kept = seen.leaving ? nanoseconds{leaving_memory} : silent_memory;
        return now - seen.seen_at >= kept;
    });
    const auto keys = known_ | std::views::keys;
    const bool changed = !std::ranges::equal(names_, keys);
    if (changed) {
        grown_at_ = now;
        names_.assign(keys.begin(), keys.end());
    }
    if (settled_) {
        return changed;
    }
    settled_ = knows_fleet(now);
    return changed || settled_;
}

bool quota_fleet::knows_fleet(local_time now) const
{
    const bool knows_others = alone_ || names_.size() > 1;
    const auto stated = now - largest_at_ < size_lifetime ? largest_size_ : 0;
    const auto age = now - started_;
    const bool waited =
        age >= settle_time || (age >= early_settle_time && now - grown_at_ >= unchanged_time);
    return waited && knows_others &&
           static_cast<double>(names_.size()) >= known_part * static_cast<double>(stated);
}

bool quota_fleet::is_older(const member_entry& member, local_time now) const
{
    return member.name != self_ &&
           heartbeat_period_ * member.sequence > now - started_ + common_start;
}

/** After the loss of all VMs each returns as the holder that it was, and what its part has gained
 * since this process started was granted by nobody. If an older VM is known, that one may have held
 * the part, and hears of this VM only now. */
local_time quota_fleet::parts_unused_since(local_time now) const
{
    return all_started(now) ? started_ : now;
}

bool quota_fleet::all_started(local_time now) const
{
    return !knows_older_ && now - started_ < common_start_memory;
}

void quota_fleet::record_size(std::size_t vms, local_time now)
{
    if (vms >= largest_size_ || now - largest_at_ >= size_lifetime) {
        largest_size_ = vms;
        largest_at_ = now;
    }
}

void quota_fleet::merge(const std::vector<silent_vm>& remembered, local_time now)
{
    for (const auto& item : remembered) {
        if (known_.size() < max_known) {
            known_.try_emplace(item.name, memory{now - item.age, item.leaving});
            knows_older_ = knows_older_ || item.age > now - started_ + common_start;
        }
    }
}

std::vector<silent_vm> quota_fleet::silent(std::size_t max_vms, random_engine& random,
                                           local_time now) const
{
    std::vector<silent_vm> all;
    for (const auto& [name, seen] : known_) {
        if (now - seen.seen_at >= silent_after) {
            all.push_back(
                {name, std::chrono::duration_cast<seconds>(now - seen.seen_at), seen.leaving});
        }
    }
    std::vector<silent_vm> picked;
    std::ranges::sample(all, std::back_inserter(picked), static_cast<std::ptrdiff_t>(max_vms),
                        random);
    return picked;
}

} // namespace sniperock

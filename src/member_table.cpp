/** @file member_table.cpp Membership table of the fleet's VMs, fed by heartbeats. */
#include "member_table.hpp"

#include <algorithm>
#include <ranges>

namespace sniperock {
namespace {

/** Multiple of the silence timeout during which a silent VM may still be running. */
constexpr int possibly_running_factor = 4;
/** One round of heartbeats in this many also targets a dead VM, to detect the end of a network
 * partition. */
constexpr int dead_target_one_in = 3;
/** Up to this size of a fleet the silence timeout is that of the settings. */
constexpr std::size_t small_fleet = 100;
/** Number of further VMs that lengthens it by its own length, and the limit of that. */
constexpr double vms_per_added_timeout = 1000;
constexpr double max_silence_factor = 2;
/** A VM that was updated within this time, two rounds of heartbeats, may be news to others. */
constexpr milliseconds recent_time{1000};
/** Time for which a VM's entry is sent to others unasked: it reaches most of them meanwhile. */
constexpr milliseconds new_time{3000};
/** Multiple of the silence timeout after which a dead VM is removed from the table. */
constexpr int forget_factor = 40;

} // namespace

member_table::member_table(member_entry self, milliseconds silence_timeout)
    : self_(std::move(self)), silence_timeout_(silence_timeout)
{
}

nanoseconds member_table::silence_limit() const
{
    const auto beyond_small = peers_.size() - std::min(peers_.size(), small_fleet);
    const double factor = 1 + static_cast<double>(beyond_small) / vms_per_added_timeout;
    return std::chrono::duration_cast<nanoseconds>(silence_timeout_ *
                                                   std::min(factor, max_silence_factor));
}

bool member_table::supersedes(const member_entry& entry, const record& known, local_time now) const
{
    if (entry.incarnation_id == known.entry.incarnation_id) {
        return entry.sequence > known.entry.sequence;
    }
    return entry.incarnation_id > known.entry.incarnation_id || !is_alive(known, now);
}

bool member_table::merge(const std::vector<member_entry>& entries, local_time now)
{
    bool has_new_member = false;
    for (const auto& entry : entries) {
        if (entry.address == self_.address || entry.address.empty()) {
            continue;
        }
        const auto found = peers_.find(entry.address);
        if (found == peers_.end()) {
            peers_.emplace(entry.address, record{entry, now, now});
            has_new_member = true;
        }
        else if (supersedes(entry, found->second, now)) {
            const bool is_new = entry.incarnation_id != found->second.entry.incarnation_id;
            has_new_member = has_new_member || is_new;
            found->second = {entry, now, is_new ? now : found->second.known_since};
        }
    }
    std::erase_if(peers_, [&](const auto& item) {
        return now - item.second.updated_at >= silence_timeout_ * forget_factor;
    });
    return has_new_member;
}

std::vector<std::string> member_table::merge_updates(const std::vector<member_update>& updates,
                                                     local_time now)
{
    std::vector<std::string> unknown;
    for (const auto& update : updates) {
        if (update.address == self_.address) {
            continue;
        }
        const auto found = peers_.find(update.address);
        if (found == peers_.end()) {
            unknown.push_back(update.address);
            continue;
        }
        auto& known = found->second;
        if (update.incarnation_id == known.entry.incarnation_id) {
            if (update.sequence > known.entry.sequence) {
                known.entry.sequence = update.sequence;
                known.entry.state = update.state;
                known.updated_at = now;
            }
        }
        else if (update.incarnation_id > known.entry.incarnation_id || !is_alive(known, now)) {
            unknown.push_back(update.address);
        }
    }
    return unknown;
}

std::vector<member_entry> member_table::new_entries(std::size_t max_entries, local_time now) const
{
    std::vector<const record*> recent;
    for (const auto& item : peers_ | std::views::values) {
        if (is_alive(item, now) && now - item.known_since < new_time) {
            recent.push_back(&item);
        }
    }
    std::ranges::sort(recent, std::ranges::greater{}, &record::known_since);
    std::vector<member_entry> entries{self_};
    for (const auto* item : recent | std::views::take(max_entries)) {
        entries.push_back(item->entry);
    }
    return entries;
}

std::vector<member_update> member_table::updates(std::size_t max_updates, random_engine& random,
                                                 local_time now) const
{
    std::vector<const record*> recent;
    for (const auto& item : peers_ | std::views::values) {
        if (now - item.updated_at <= recent_time) {
            recent.push_back(&item);
        }
    }
    std::vector<const record*> picked;
    std::ranges::sample(recent, std::back_inserter(picked),
                        static_cast<std::ptrdiff_t>(max_updates), random);
    std::vector<member_update> result;
    std::ranges::transform(picked, std::back_inserter(result), [](const record* item) {
        const auto& entry = item->entry;
        return member_update{entry.address, entry.incarnation_id, entry.sequence, entry.state};
    });
    return result;
}

std::vector<member_entry> member_table::entries_of(const std::vector<std::string>& addresses) const
{
    std::vector<member_entry> entries{self_};
    for (const auto& address : addresses) {
        const auto found = peers_.find(address);
        if (found != peers_.end()) {
            entries.push_back(found->second.entry);
        }
    }
    return entries;
}

std::vector<std::string> member_table::pick_targets(std::size_t count, random_engine& random,
                                                    local_time now) const
{
    std::vector<std::string> near_addresses;
    std::vector<std::string> far_addresses;
    std::vector<std::string> dead_addresses;
    for (const auto& [address, item] : peers_) {
        const bool near = item.entry.failure_domain == self_.failure_domain;
        auto& group = near ? near_addresses : far_addresses;
        (is_alive(item, now) ? group : dead_addresses).push_back(address);
    }
    // One heartbeat a round connects the domains; bytes between them are expensive.
    const auto far_wanted = std::min<std::size_t>(far_addresses.size(), 1);
    const auto near_count = std::min(near_addresses.size(), count - std::min(count, far_wanted));
    std::vector<std::string> targets;
    std::ranges::sample(near_addresses, std::back_inserter(targets),
                        static_cast<std::ptrdiff_t>(near_count), random);
    std::ranges::sample(far_addresses, std::back_inserter(targets),
                        static_cast<std::ptrdiff_t>(count - near_count), random);
    const bool contact_dead = std::uniform_int_distribution<>{1, dead_target_one_in}(random) == 1;
    if (contact_dead && !dead_addresses.empty()) {
        std::ranges::sample(dead_addresses, std::back_inserter(targets), 1, random);
    }
    return targets;
}

std::vector<member_entry> member_table::alive(local_time now) const
{
    std::vector<member_entry> result{self_};
    for (const auto& item : peers_ | std::views::values) {
        if (is_alive(item, now)) {
            result.push_back(item.entry);
        }
    }
    return result;
}

std::vector<std::string> member_table::other_addresses(local_time now) const
{
    std::vector<std::string> addresses;
    for (const auto& [address, item] : peers_) {
        if (is_alive(item, now)) {
            addresses.push_back(address);
        }
    }
    return addresses;
}

std::vector<std::string> member_table::possibly_running_names(local_time now) const
{
    std::vector<std::string> names{self_.name};
    for (const auto& item : peers_ | std::views::values) {
        if (now - item.updated_at < silence_timeout_ * possibly_running_factor) {
            names.push_back(item.entry.name);
        }
    }
    return names;
}

} // namespace sniperock

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
/** Multiple of the silence timeout after which a dead VM is removed from the table. */
constexpr int forget_factor = 40;

} // namespace

member_table::member_table(member_entry self, milliseconds silence_timeout)
    : self_(std::move(self)), silence_timeout_(silence_timeout)
{
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
            peers_.emplace(entry.address, record{entry, now});
            has_new_member = true;
        }
        else if (supersedes(entry, found->second, now)) {
            has_new_member =
                has_new_member || entry.incarnation_id != found->second.entry.incarnation_id;
            found->second = {entry, now};
        }
    }
    std::erase_if(peers_, [&](const auto& item) {
        return now - item.second.updated_at >= silence_timeout_ * forget_factor;
    });
    return has_new_member;
}

std::vector<member_entry> member_table::digest(std::size_t max_entries, local_time now) const
{
    std::vector<const record*> alive_records;
    for (const auto& item : peers_ | std::views::values) {
        if (is_alive(item, now)) {
            alive_records.push_back(&item);
        }
    }
    std::ranges::sort(alive_records, std::ranges::greater{}, &record::updated_at);
    std::vector<member_entry> entries{self_};
    for (const auto* item : alive_records | std::views::take(max_entries)) {
        entries.push_back(item->entry);
    }
    return entries;
}

std::vector<std::string> member_table::pick_targets(std::size_t count, random_engine& random,
                                                    local_time now) const
{
    std::vector<std::string> alive_addresses;
    std::vector<std::string> dead_addresses;
    for (const auto& [address, item] : peers_) {
        (is_alive(item, now) ? alive_addresses : dead_addresses).push_back(address);
    }
    std::vector<std::string> targets;
    std::ranges::sample(alive_addresses, std::back_inserter(targets),
                        static_cast<std::ptrdiff_t>(count), random);
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

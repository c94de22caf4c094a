/** @file member_table.cpp The VMs of the fleet, by their heartbeats. */
#include "member_table.hpp"

#include <algorithm>
#include <ranges>

namespace sniperock {
namespace {

/** A VM may still run, unheard, for so many times the silence that makes it count as dead. */
constexpr int may_run_factor = 4;
/** One heartbeat in so many goes to a VM that counts as dead, to find the end of a cut. */
constexpr int dead_target_odds = 3;
/** A dead VM is forgotten after so many times the silence. */
constexpr int forget_factor = 40;

} // namespace

member_table::member_table(member_entry self, milliseconds silence)
    : self_(std::move(self)), silence_(silence)
{
}

bool member_table::supersedes(const member_entry& entry, const record& known, local_time now) const
{
    if (entry.life == known.entry.life) {
        return entry.beat > known.entry.beat;
    }
    return entry.life > known.entry.life || !is_alive(known, now);
}

bool member_table::merge(const std::vector<member_entry>& entries, local_time now)
{
    bool news = false;
    for (const auto& entry : entries) {
        if (entry.address == self_.address || entry.address.empty()) {
            continue;
        }
        const auto found = others_.find(entry.address);
        if (found == others_.end()) {
            others_.emplace(entry.address, record{entry, now});
            news = true;
        }
        else if (supersedes(entry, found->second, now)) {
            news = news || entry.life != found->second.entry.life;
            found->second = {entry, now};
        }
    }
    std::erase_if(others_, [&](const auto& item) {
        return now - item.second.heard >= silence_ * forget_factor;
    });
    return news;
}

std::vector<member_entry> member_table::digest(std::size_t most, local_time now) const
{
    std::vector<const record*> living;
    for (const auto& item : others_ | std::views::values) {
        if (is_alive(item, now)) {
            living.push_back(&item);
        }
    }
    std::ranges::sort(living, std::ranges::greater{}, &record::heard);
    std::vector<member_entry> entries{self_};
    for (const auto* item : living | std::views::take(most)) {
        entries.push_back(item->entry);
    }
    return entries;
}

std::vector<std::string> member_table::pick_targets(std::size_t count, random_engine& random,
                                                    local_time now) const
{
    std::vector<std::string> living;
    std::vector<std::string> dead;
    for (const auto& [address, item] : others_) {
        (is_alive(item, now) ? living : dead).push_back(address);
    }
    std::vector<std::string> targets;
    std::ranges::sample(living, std::back_inserter(targets), static_cast<std::ptrdiff_t>(count),
                        random);
    const bool greet_dead = std::uniform_int_distribution<>{1, dead_target_odds}(random) == 1;
    if (greet_dead && !dead.empty()) {
        std::ranges::sample(dead, std::back_inserter(targets), 1, random);
    }
    return targets;
}

std::vector<member_entry> member_table::alive(local_time now) const
{
    std::vector<member_entry> result{self_};
    for (const auto& item : others_ | std::views::values) {
        if (is_alive(item, now)) {
            result.push_back(item.entry);
        }
    }
    return result;
}

std::vector<std::string> member_table::possibly_running_names(local_time now) const
{
    std::vector<std::string> names{self_.name};
    for (const auto& item : others_ | std::views::values) {
        if (now - item.heard < silence_ * may_run_factor) {
            names.push_back(item.entry.name);
        }
    }
    return names;
}

} // namespace sniperock

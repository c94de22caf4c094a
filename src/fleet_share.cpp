/** @file fleet_share.cpp A VM's share of a limit that binds the whole fleet. */
#include "fleet_share.hpp"

#include "hash_func.hpp"

#include <algorithm>

namespace sniperock {

std::size_t whole_share(std::size_t total, std::string_view subject, const fleet_view& fleet)
{
    if (!fleet.settled || fleet.members.empty()) {
        return 0;
    }
    if (total >= fleet.members.size()) {
        return total / fleet.members.size();
    }
    const auto seed = stable_hash(subject);
    const auto rank_of = [seed](std::string_view name) { return stable_hash(name, seed); };
    const auto own = rank_of(fleet.self);
    const auto before =
        std::ranges::count_if(fleet.members, [&](const auto& name) { return rank_of(name) < own; });
    return static_cast<std::size_t>(before) < total / 2 ? 1 : 0;
}

} // namespace sniperock

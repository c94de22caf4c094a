/** @file fleet_share.cpp Divides a limit on the whole fleet among its VMs. */
#include "fleet_share.hpp"

#include "hash_func.hpp"

#include <algorithm>

namespace sniperock {

std::size_t vm_share(std::size_t total, std::string_view subject, const fleet_view& fleet)
{
    if (!fleet.settled || fleet.members.empty()) {
        return 0;
    }
    if (total >= fleet.members.size()) {
        return total / fleet.members.size();
    }
    const auto seed = stable_hash(subject);
    const auto hash_of = [seed](std::string_view name) { return stable_hash(name, seed); };
    const auto own_hash = hash_of(fleet.self);
    const auto rank = std::ranges::count_if(
        fleet.members, [&](const auto& name) { return hash_of(name) < own_hash; });
    return static_cast<std::size_t>(rank) < total / 2 ? 1 : 0;
}

} // namespace sniperock

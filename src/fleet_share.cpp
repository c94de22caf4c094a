/** @file fleet_share.cpp Divides a limit on the whole fleet among its VMs. */
#include "fleet_share.hpp"

#include "hash_func.hpp"

#include <algorithm>

namespace sniperock {

namespace {

/** Position of this VM among the VMs of the fleet, in an order that depends on @p subject. */
std::size_t rank_in_fleet(std::string_view subject, const fleet_view& fleet)
{
    const auto seed = stable_hash(subject);
    const auto hash_of = [seed](std::string_view name) { return stable_hash(name, seed); };
    const auto own_hash = hash_of(fleet.self);
    return static_cast<std::size_t>(std::ranges::count_if(
        fleet.members, [&](const auto& name) { return hash_of(name) < own_hash; }));
}

} // namespace

std::size_t vm_share(std::size_t total, std::string_view subject, const fleet_view& fleet)
{
    if (!fleet.settled || fleet.members.empty()) {
        return 0;
    }
    if (total >= fleet.members.size()) {
        return total / fleet.members.size();
    }
    return rank_in_fleet(subject, fleet) < total / 2 ? 1 : 0;
}

std::size_t vm_full_share(std::size_t total, std::string_view subject, const fleet_view& fleet)
{
    if (!fleet.settled || fleet.members.empty()) {
        return 0;
    }
    const auto rest = total % fleet.members.size();
    const bool has_extra = rest > 0 && rank_in_fleet(subject, fleet) < rest;
    return total / fleet.members.size() + (has_extra ? 1 : 0);
}

} // namespace sniperock

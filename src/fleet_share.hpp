/** @file fleet_share.hpp Divides a limit on the whole fleet among its VMs. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sniperock {

/** The fleet as this VM knows it. */
struct fleet_view {
    /** Name of this VM. */
    std::string self;
    /** Names of all VMs that may be running, including this one. */
    std::vector<std::string> members;
    /** False until the VM has had time to learn of the other VMs. */
    bool settled = false;
};

/**
 * This VM's share of a limit, in whole units.
 *
 * If there are fewer units than VMs, each unit is assigned to one VM, chosen by a hash of
 * @p subject and the VM's name. Only half of the units are assigned then, since two VMs with
 * temporarily different views of the fleet may choose different VMs.
 * @param total limit of the whole fleet.
 * @param subject what the limit applies to; spreads the units of different limits over the VMs.
 * @return 0 while the view is not settled.
 */
std::size_t vm_share(std::size_t total, std::string_view subject, const fleet_view& fleet);

/** Like vm_share(), but all units are assigned, and the rest of a division to single VMs. For
 * limits that leave room for VMs with different views of the fleet. */
std::size_t vm_full_share(std::size_t total, std::string_view subject, const fleet_view& fleet);

} // namespace sniperock

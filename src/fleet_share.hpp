/** @file fleet_share.hpp A VM's share of a limit that binds the whole fleet. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sniperock {

/** What a VM knows of the fleet when it works out its shares. */
struct fleet_view {
    /** Name of this VM. */
    std::string self;
    /** Names of all VMs that may be running, this one too. */
    std::vector<std::string> members;
    /** False until the VM has had time to hear of the others. */
    bool settled = false;
};

/**
 * Whole units of @p total that this VM may use.
 *
 * If there are fewer units than VMs, each unit goes to one VM, picked by a hash of @p subject and
 * the VM's name, and only half of the units are dealt out: two VMs that see different fleets for a
 * moment may pick different VMs.
 * @param total what the whole fleet may use.
 * @param subject what the limit is for; spreads the units of different limits.
 * @return 0 while the view is not settled.
 */
std::size_t whole_share(std::size_t total, std::string_view subject, const fleet_view& fleet);

} // namespace sniperock

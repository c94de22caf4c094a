/** @file store_role.hpp How a VM follows the store, depending on the other VMs it knows. */
#pragma once

#include "clock_type.hpp"
#include "enum_table.hpp"
#include "member_table.hpp"

#include <array>
#include <vector>

namespace sniperock {

/** How a VM learns of changes in the store. */
enum class store_role {
    /** Knows no other VM that could report a change: short, fresh watches. */
    alone,
    /** Fresh watches; announces each change to the fleet. */
    announcer,
    /** Stale watches, a tenth of the price; a fresh one once another VM has reported a change that
     * the stale watch does not deliver. */
    follower,
};

template <>
inline constexpr std::array enum_names<store_role>{
    enum_name<store_role>{store_role::alone, "alone"},
    enum_name<store_role>{store_role::announcer, "announcer"},
    enum_name<store_role>{store_role::follower, "follower"},
};

/** What the role of a VM depends on. */
struct role_input {
    member_entry self;
    /** The VMs that are alive, including this one. */
    std::vector<member_entry> alive;
    /** Time since the start of the process. */
    nanoseconds running_for{0};
    /** The settings name other VMs. */
    bool has_seeds = true;
};

/**
 * The role of a VM. In each failure domain, the ready VMs with the lowest hashes of their names are
 * announcers, so that all VMs select the same ones without agreeing on them. A VM is a follower
 * until it has had time to hear of the others, so that the VMs of a fleet that starts do not all
 * read fresh.
 */
store_role select_store_role(const role_input& input);

} // namespace sniperock

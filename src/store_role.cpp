/** @file store_role.cpp How a VM follows the store, depending on the other VMs it knows. */
#include "store_role.hpp"

#include "hash_func.hpp"

#include <algorithm>

namespace sniperock {
namespace {

/** A failure domain may be lost as a whole, and a VM at any time: two for each domain leave an
 * announcer in nearly every combination of losses. */
constexpr std::ptrdiff_t announcers_per_domain = 2;
/** A VM that has heard of no other by then is alone: seeds answer a first heartbeat at once, and a
 * lost one is followed by the next after 0.5 s. */
constexpr milliseconds alone_after{900};
/** Heartbeats have reached all VMs of a fleet that starts. */
constexpr milliseconds announces_after{2500};

} // namespace

store_role select_store_role(const role_input& input)
{
    const auto& self = input.self;
    if (input.alive.size() < 2) {
        const bool may_hear_of_others = input.has_seeds && input.running_for < alone_after;
        return may_hear_of_others ? store_role::follower : store_role::alone;
    }
    if (input.running_for < announces_after) {
        return store_role::follower;
    }
    const auto own_hash = stable_hash(self.name);
    const auto precedes_self = [&](const member_entry& other) {
        return other.failure_domain == self.failure_domain && other.state == member_state::ready &&
               stable_hash(other.name) < own_hash;
    };
    return std::ranges::count_if(input.alive, precedes_self) < announcers_per_domain
               ? store_role::announcer
               : store_role::follower;
}

} // namespace sniperock

/** @file quota_fleet.hpp The VMs among which the quotas of accounts are divided. */
#pragma once

#include "member_table.hpp"
#include "random_type.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace sniperock {

/** A VM that is remembered although it is silent. */
struct silent_vm {
    std::string name;
    /** Time since it was last alive. */
    seconds age{0};
    /** It said that it would stop. */
    bool leaving = false;
};

/**
 * Remembers the VMs of the fleet for much longer than the membership table: a VM that is cut off
 * still lets requests pass, and one that has failed comes back. So a loss, a cut or a restart
 * changes no VM's part of any quota.
 */
class quota_fleet {
public:
    /** @param started start of this process. @param alone no other VM is configured.
     * @param heartbeat_period time between two heartbeats of a VM. */
    quota_fleet(std::string self, local_time started, bool alone,
                milliseconds heartbeat_period = default_heartbeat_period);

    /** Takes in the VMs that are alive, forgets those that are gone, and settles if the VM knows
     * the fleet well enough. @return true if the names or the state of being settled changed. */
    bool update(const std::vector<member_entry>& alive, local_time now);
    /** Another VM remembers so many. */
    void record_size(std::size_t vms, local_time now);
    /** Takes in what another VM remembers. */
    void merge(const std::vector<silent_vm>& remembered, local_time now);
    /** Up to @p max_vms VMs that are remembered and silent; VMs that start cannot hear of them
     * otherwise. */
    [[nodiscard]] std::vector<silent_vm> silent(std::size_t max_vms, random_engine& random,
                                                local_time now) const;

    /** Names of all VMs that may let requests pass, including this one; sorted. */
    [[nodiscard]] const std::vector<std::string>& names() const { return names_; }
    /** Whether this VM knows the fleet well enough to hold a part of a quota; remains true. */
    [[nodiscard]] bool settled() const { return settled_; }
    /** All VMs that it knows have started about when this one did, and lately: all were lost. */
    [[nodiscard]] bool all_started(local_time now) const;
    /** Since when the parts that this VM comes to hold now were used by no process. */
    [[nodiscard]] local_time parts_unused_since(local_time now) const;

private:
    static constexpr milliseconds default_heartbeat_period{500};

    struct memory {
        local_time seen_at;
        bool leaving = false;
    };

    [[nodiscard]] bool knows_fleet(local_time now) const;
    [[nodiscard]] bool is_older(const member_entry& member, local_time now) const;

    std::string self_;
    local_time started_;
    bool alone_;
    milliseconds heartbeat_period_;
    bool settled_ = false;
    /** A process that has run for longer than this one is known: not all VMs were lost. */
    bool knows_older_ = false;
    /** When this VM last heard of one that it did not know. */
    local_time grown_at_;
    /** Most VMs that another one has lately said to remember, and when. */
    std::size_t largest_size_ = 0;
    local_time largest_at_;
    std::map<std::string, memory, std::less<>> known_;
    std::vector<std::string> names_;
};

} // namespace sniperock

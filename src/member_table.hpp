/** @file member_table.hpp Membership table of the fleet's VMs, fed by heartbeats. */
#pragma once

#include "clock_type.hpp"
#include "enum_table.hpp"
#include "random_type.hpp"
#include "strong_id.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace sniperock {

/** State that a VM reports about itself. */
enum class member_state : std::uint8_t {
    /** Has no configuration yet. */
    starting,
    /** Serves callers. */
    ready,
    /** Is about to stop. */
    leaving,
};

template <>
inline constexpr std::array enum_names<member_state>{
    enum_name<member_state>{member_state::starting, "starting"},
    enum_name<member_state>{member_state::ready, "ready"},
    enum_name<member_state>{member_state::leaving, "leaving"},
};

/** One VM's entry in a heartbeat. */
struct member_entry {
    /** Source address of its heartbeats. */
    std::string address;
    /** Port that callers connect to. */
    std::uint16_t callers_port = 0;
    std::string name;
    std::string failure_domain;
    /** Incarnation of its process. */
    incarnation incarnation_id;
    /** Sequence number, incremented with each of its heartbeats. */
    std::uint64_t sequence = 0;
    member_state state = member_state::starting;
};

/** A newer state of a VM whose entry the receiver has; a third of the size of an entry. */
struct member_update {
    std::string address;
    incarnation incarnation_id;
    std::uint64_t sequence = 0;
    member_state state = member_state::starting;
};

/**
 * Membership table with failure detection. A VM is identified by its address. Of two entries, the
 * one with the higher incarnation wins, and within an incarnation the one with the higher sequence
 * number. A VM whose sequence number has not grown for some time is considered dead. The
 * incarnation is the wall time of the start with random low bits. It is higher after a restart
 * unless the clock was set back; then the new entry wins once the old one has timed out.
 */
class member_table {
public:
    /** @param silence_timeout time without a higher sequence number after which a VM of a small
     * fleet is dead. */
    member_table(member_entry self, milliseconds silence_timeout);

    [[nodiscard]] const member_entry& self() const { return self_; }
    void set_state(member_state state) { self_.state = state; }
    void set_callers_port(std::uint16_t port) { self_.callers_port = port; }
    /** Increments the sequence number of this VM before a heartbeat. */
    void advance_heartbeat() { ++self_.sequence; }
    /** Merges the entries of a heartbeat. @return true if a VM or an incarnation was unknown. */
    bool merge(const std::vector<member_entry>& entries, local_time now);
    /** Applies updates of VMs whose incarnation is known. @return the addresses of the others. */
    std::vector<std::string> merge_updates(const std::vector<member_update>& updates,
                                           local_time now);
    /** Entries for a heartbeat: this VM, then up to @p max_entries VMs that became known most
     * recently, as their entries have not reached all others yet. */
    [[nodiscard]] std::vector<member_entry> new_entries(std::size_t max_entries,
                                                        local_time now) const;
    /** Up to @p max_updates random VMs that were updated recently. Always the newest ones would be
     * the same for all receivers, and most VMs of a large fleet would reach few others. */
    [[nodiscard]] std::vector<member_update> updates(std::size_t max_updates, random_engine& random,
                                                     local_time now) const;
    /** This VM's entry and those of the VMs at @p addresses, as far as they are known. */
    [[nodiscard]] std::vector<member_entry>
    entries_of(const std::vector<std::string>& addresses) const;
    /** Addresses to send a heartbeat to: up to @p count random VMs that are alive, all but one of
     * them in this VM's failure domain if it has enough, and sometimes a dead one. */
    [[nodiscard]] std::vector<std::string> pick_targets(std::size_t count, random_engine& random,
                                                        local_time now) const;
    /** Entries of all VMs that are alive, including this one. */
    [[nodiscard]] std::vector<member_entry> alive(local_time now) const;
    /** Addresses of all VMs that are alive, except this one. */
    [[nodiscard]] std::vector<std::string> other_addresses(local_time now) const;
    /** Names of the VMs that may still be running, including this one: those updated within a
     * multiple of the silence timeout. */
    [[nodiscard]] std::vector<std::string> possibly_running_names(local_time now) const;

private:
    struct record {
        member_entry entry;
        /** When the entry was added or last replaced. */
        local_time updated_at;
        /** When this incarnation became known. */
        local_time known_since;
    };

    [[nodiscard]] bool is_alive(const record& item, local_time now) const
    {
        return now - item.updated_at < silence_limit();
    }
    /** Time after which a silent VM is dead; longer in a large fleet, where news takes longer. */
    [[nodiscard]] nanoseconds silence_limit() const;
    [[nodiscard]] bool supersedes(const member_entry& entry, const record& known,
                                  local_time now) const;

    member_entry self_;
    milliseconds silence_timeout_;
    std::map<std::string, record, std::less<>> peers_;
};

} // namespace sniperock

/** @file member_table.hpp The VMs of the fleet, by their heartbeats. */
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

/** What a VM says of itself. */
enum class member_state : std::uint8_t {
    /** It has no configuration yet. */
    starting,
    /** It serves callers. */
    ready,
    /** It is about to stop. */
    leaving,
};

template <>
inline constexpr std::array enum_names<member_state>{
    enum_name<member_state>{member_state::starting, "starting"},
    enum_name<member_state>{member_state::ready, "ready"},
    enum_name<member_state>{member_state::leaving, "leaving"},
};

/** One VM as heartbeats carry it. */
struct member_entry {
    /** Where its heartbeats come from. */
    std::string address;
    /** Port that callers connect to. */
    std::uint16_t callers_port = 0;
    std::string name;
    std::string failure_domain;
    /** The life of its process. */
    incarnation life;
    /** Grows with each of its heartbeats. */
    std::uint64_t beat = 0;
    member_state state = member_state::starting;
};

/**
 * Who is alive. A VM is known by its address; of two entries the one with the newer life holds,
 * and in one life the one with the higher beat. A VM whose beat did not grow for some time counts
 * as dead. Lives are compared by their number, which is the wall time of the start with a random
 * end: a VM that starts again has a newer one unless its clock was set back, and then its entry
 * holds once the old one has been silent.
 */
class member_table {
public:
    /** @param silence a VM whose beat does not grow for so long counts as dead. */
    member_table(member_entry self, milliseconds silence);

    [[nodiscard]] const member_entry& self() const { return self_; }
    void set_state(member_state state) { self_.state = state; }
    void set_callers_port(std::uint16_t port) { self_.callers_port = port; }
    /** Counts a heartbeat of this VM. */
    void beat() { ++self_.beat; }
    /** Takes over what a heartbeat carries. @return true if an unknown VM or life is among it. */
    bool merge(const std::vector<member_entry>& entries, local_time now);
    /** Entries for a heartbeat: this VM and up to @p most living ones, the newest first. */
    [[nodiscard]] std::vector<member_entry> digest(std::size_t most, local_time now) const;
    /** Up to @p count addresses to send a heartbeat to, and sometimes that of a dead VM. */
    [[nodiscard]] std::vector<std::string> pick_targets(std::size_t count, random_engine& random,
                                                        local_time now) const;
    /** Every living VM, this one too. */
    [[nodiscard]] std::vector<member_entry> alive(local_time now) const;
    /** Names of the VMs that may be running: heard of within a longer time, this one too. */
    [[nodiscard]] std::vector<std::string> possibly_running_names(local_time now) const;

private:
    struct record {
        member_entry entry;
        local_time heard;
    };

    [[nodiscard]] bool is_alive(const record& item, local_time now) const
    {
        return now - item.heard < silence_;
    }
    [[nodiscard]] bool supersedes(const member_entry& entry, const record& known,
                                  local_time now) const;

    member_entry self_;
    milliseconds silence_;
    std::map<std::string, record, std::less<>> others_;
};

} // namespace sniperock

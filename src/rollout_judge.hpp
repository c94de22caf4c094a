/** @file rollout_judge.hpp Decides whether a new version of a service is good or bad. */
#pragma once

#include "rollout_type.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace sniperock {

/** Why a version is not taken over. */
enum class rollout_fault {
    /** Its requests fail more often than those of the old version. */
    failures,
    /** Its requests take several times as long as those of the old version. */
    slowness,
    /** It has answered too few requests to be judged. */
    unproven,
    /** Its upstreams have too few slots for all requests. */
    no_room,
};

template <>
inline constexpr std::array enum_names<rollout_fault>{
    enum_name<rollout_fault>{rollout_fault::failures, "failures"},
    enum_name<rollout_fault>{rollout_fault::slowness, "slowness"},
    enum_name<rollout_fault>{rollout_fault::unproven, "unproven"},
    enum_name<rollout_fault>{rollout_fault::no_room, "no-room"},
};

/** A fault and the evidence for it. */
struct rollout_finding {
    rollout_fault fault = rollout_fault::failures;
    /** Hash of the route; 0 if it is none of a single one. */
    std::uint64_t route = 0;
    rollout_evidence evidence{};
};

/** Searches the evidence of all VMs for a fault of the new version, route by route and over all
 * routes. Faults that the old version has as well, and those of single upstreams, are none. */
std::optional<rollout_finding> find_fault(const std::vector<route_evidence>& routes);

/** What a decision about a roll-out is based on. */
struct rollout_progress {
    milliseconds duration{0};
    /** Since the order, and since its state was entered. */
    milliseconds age{0};
    rollout_state state = rollout_state::running;
    milliseconds state_age{0};
    /** Evidence of all VMs. */
    std::vector<route_evidence> routes;
    /** Slots of the upstreams of both versions that may be used. */
    std::size_t target_slots = 0;
    std::size_t stable_slots = 0;
    /** Requests that still run at the old version, on all VMs. */
    std::uint64_t stable_running = 0;
};

/** What to do about a roll-out. */
enum class rollout_step { wait, promote, condemn, succeed };

struct rollout_decision {
    rollout_step step = rollout_step::wait;
    /** Why the version is condemned. */
    std::optional<rollout_finding> finding{};
};

/** Decides the next step of an order that runs or is promoted. */
rollout_decision decide_rollout(const rollout_progress& progress);

} // namespace sniperock

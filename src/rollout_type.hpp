/** @file rollout_type.hpp Roll-outs of new versions of a service: orders, states and evidence. */
#pragma once

#include "clock_type.hpp"
#include "enum_table.hpp"
#include "strong_id.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sniperock {

/** Identifies one order; a later order for the same service has another one. */
using rollout_id = strong_id<struct rollout_id_tag>;

/** An operator's order to move the requests of a service to a new version. */
struct rollout_order {
    rollout_id id;
    std::string service;
    std::string target_version;
    /** From the order to its deadline. */
    milliseconds duration{0};

    friend bool operator==(const rollout_order&, const rollout_order&) = default;
};

/** State of a roll-out. A later one replaces an earlier one, on every VM. */
enum class rollout_state : std::uint8_t {
    /** The target version gets a small share of the requests. */
    running,
    /** No fault was found; all requests move to the target version. */
    promoting,
    /** The target version is bad; it gets no more requests. The store does not state it yet. */
    condemned,
    /** The store states that the order was rolled back. */
    rolled_back,
    /** The store states that the order succeeded; upstreams of other versions stop. */
    succeeded,
};

template <>
inline constexpr std::array enum_names<rollout_state>{
    enum_name<rollout_state>{rollout_state::running, "running"},
    enum_name<rollout_state>{rollout_state::promoting, "promoting"},
    enum_name<rollout_state>{rollout_state::condemned, "condemned"},
    enum_name<rollout_state>{rollout_state::rolled_back, "rolled-back"},
    enum_name<rollout_state>{rollout_state::succeeded, "succeeded"},
};

/** True once the store states how the order ended. */
constexpr bool is_final(rollout_state state)
{
    return state >= rollout_state::rolled_back;
}

/** An order as the store holds it. */
struct stored_rollout {
    rollout_order order;
    store_revision revision;
    /** What its status states: running, rolled back or succeeded; empty if it states nothing. */
    std::optional<rollout_state> state;
};

/** Settings of roll-outs. */
struct rollout_settings {
    /** Largest share of a service's requests that a version may get before it is known to be good;
     * 0 if the deployment has no roll-outs. */
    double max_share = 0;

    [[nodiscard]] bool enabled() const { return max_share > 0; }
};

/** Answers of one version to the requests of one route. */
struct version_tally {
    /** Requests that ran, and those that failed. */
    std::uint64_t ran = 0;
    std::uint64_t failed = 0;
    /** Requests whose time was measured, and the sum over them of the binary logarithm of that
     * time in ms, in thousandths. */
    std::uint64_t timed = 0;
    std::uint64_t log_time = 0;
    /** Upstreams that ran a request, and those that failed one, as sets of bits selected by a
     * hash. */
    std::uint64_t used_set = 0;
    std::uint64_t failed_set = 0;

    version_tally& operator+=(const version_tally& other);
    friend bool operator==(const version_tally&, const version_tally&) = default;
};

/** Answers of both versions to the requests of one route in the same time. */
struct rollout_evidence {
    version_tally target;
    version_tally stable;

    rollout_evidence& operator+=(const rollout_evidence& other);
    friend bool operator==(const rollout_evidence&, const rollout_evidence&) = default;
};

/** What a VM has seen of one route. */
struct route_evidence {
    /** Hash of the route's name. */
    std::uint64_t route = 0;
    /** In the last seconds, and since the order. */
    rollout_evidence recent{};
    rollout_evidence total{};

    friend bool operator==(const route_evidence&, const route_evidence&) = default;
};

/** What a VM tells others of a roll-out. */
struct rollout_report {
    rollout_order order;
    /** Since the order was first read by any VM. */
    milliseconds age{0};
    rollout_state state = rollout_state::running;
    /** Since any VM has entered the state. */
    milliseconds state_age{0};
    /** Incarnation of the VM whose evidence follows; empty in reports without evidence. */
    std::optional<incarnation> source{};
    /** Requests that run at upstreams of other versions than the target. */
    std::uint64_t stable_running = 0;
    std::vector<route_evidence> routes{};
};

} // namespace sniperock

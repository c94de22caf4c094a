/** @file server_state.hpp Everything an owner keeps of one of its servers. */
#pragma once

#include "cold_limit.hpp"
#include "policy_type.hpp"
#include "server_health.hpp"

#include <cstdint>

namespace sniperock {

/** One server, its permits in use and what it showed. */
struct server_state {
    server_state(server_entry with, local_time now)
        : entry(std::move(with)), limit(entry.slots, entry.cold_slots, now)
    {
    }

    server_entry entry;
    cold_limit limit;
    server_health health;
    /** Permits that were not given back. */
    std::uint32_t in_flight = 0;
    /** False once operators took it out of service. */
    bool available = true;
    /** Permits of an owner that said nothing may be in use until then. */
    wall_time closed_until{};
    /** Closed only: no call of such a permit is started after this. */
    wall_time started_until{};
    /** Its part of the plans' limits may be used from then on. */
    wall_time limits_from{};
    /** Last probe that its part of the budget paid for, whichever server it went to. */
    wall_time last_probe{};
    /** When it was last probed from here. */
    local_time probed_at{};
};

/** Calls that may be in flight; 0 while the server gets no new work. */
std::uint32_t usable_limit(const server_state& server, wall_time wall);
/** True if one more call of class @p kind may be granted. */
bool can_take(const server_state& server, call_class kind, local_time now, wall_time wall);
/** What the policy sees of the server. */
server_sight sight_of(const server_state& server);
/**
 * Takes in how a call ended.
 * @param peer_latency normal latency of its warm peers; 0 if unknown.
 * @return true if the concurrency limit was cut.
 */
bool take_report(server_state& server, const call_report& report, nanoseconds peer_latency,
                 local_time now);

} // namespace sniperock

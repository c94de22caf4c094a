/** @file probe_schedule.hpp Which servers to probe, within one budget for each service. */
#pragma once

#include "clock_type.hpp"
#include "server_state.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace sniperock {

/** A probe to send. */
struct probe_order {
    server_key server;
    std::string address;
    std::uint16_t port = 0;
};

/**
 * A stretch of wall-clock time and the probes that all vms together may send in it. The slots
 * follow from the service's probe rate alone, so that every vm works with the same ones. Each
 * probe of a slot belongs to one server in turn, and only that server's owner may send it.
 */
struct probe_slot {
    std::int64_t number = 0;
    wall_time start;
    microseconds length{0};
    /** Probes in this slot over all vms. */
    std::uint32_t probes = 0;

    /** Probes go out in the first half, so that clocks may differ by the other half. */
    [[nodiscard]] bool open_at(wall_time time) const { return time - start < length / 2; }
    /** Positions of the servers whose owners may probe now, by name among @p servers. */
    [[nodiscard]] std::vector<std::size_t> turns(std::size_t servers) const;
};

/** The slot at @p time of a service with @p rate probes a second; rate from 1. */
probe_slot probe_slot_at(std::uint32_t rate, wall_time time);

/** How much a server needs a probe; more is more urgent. */
struct probe_need {
    enum class level { none, no_answer_lately, draining, suspended, closed };
    level urgency = level::none;
    /** Last probe or answer. */
    local_time seen;
};

/** Judges one server. */
probe_need need_of(const server_state& server, local_time now, wall_time wall);
/** The most urgent, among equals the one not seen for longest; empty if none needs a probe. */
std::optional<std::size_t> most_needed(std::span<const probe_need> needs);

} // namespace sniperock

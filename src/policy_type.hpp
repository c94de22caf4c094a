/** @file policy_type.hpp Balancing policies as plug-ins, chosen by the setting schedule.policy. */
#pragma once

#include "clock_type.hpp"
#include "plugin.hpp"
#include "random_type.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace sniperock {

/** What a policy sees of a server that may take one more call. */
struct server_sight {
    std::uint32_t in_flight = 0;
    std::uint32_t limit = 1;
    /** Recent latency with errors counted as slowness. */
    nanoseconds cost{0};
    /** Calls in flight by the server's last report; may be stale. */
    std::uint32_t reported_in_flight = 0;
    /** Slots by the server's last report; 0 if it never reported. */
    std::uint32_t reported_slots = 0;
};

/** Chooses among the servers of one service; one object for each service of a vm. */
class balance_policy {
public:
    balance_policy() = default;
    virtual ~balance_policy() = default;
    balance_policy(const balance_policy&) = delete;
    balance_policy& operator=(const balance_policy&) = delete;

    /** True if only owned servers are granted, and permits are asked of other owners. */
    [[nodiscard]] virtual bool uses_ownership() const = 0;
    /**
     * Chooses one of @p usable, all of which are below their limit.
     * @return its index; empty only if there is none.
     */
    virtual std::optional<std::size_t> choose(std::span<const server_sight> usable,
                                              random_engine& random) = 0;
};

using policy_registry = plugin_registry<balance_policy>;
using policy_registration = plugin_registration<balance_policy>;

} // namespace sniperock

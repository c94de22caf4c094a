/** @file limit_plan.hpp Plans' rate and concurrency limits, divided among the servers of a service.
 */
#pragma once

#include "clock_type.hpp"
#include "config_type.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace sniperock {

/**
 * Divides a limit among a service's servers in proportion to their slots. The parts are whole
 * numbers, their sum is exactly the limit, and equal lists give equal parts on every vm.
 * @return the part of each server, in the order of @p servers.
 */
std::vector<std::uint32_t> divide_limit(std::uint32_t limit, const std::string& plan,
                                        const std::string& service,
                                        const std::vector<server_entry>& servers);

/** Counts grants so that no window of one second holds more than the limit. */
class rate_window {
public:
    /** True if another grant keeps within @p limit a second. */
    [[nodiscard]] bool allows(std::uint32_t limit, local_time now);
    /** Counts one grant. */
    void add(local_time now);
    /** When the oldest counted grants leave the window; at least one slice ahead. */
    [[nodiscard]] milliseconds next_change(local_time now) const;

private:
    static constexpr milliseconds slice{20};
    static constexpr std::size_t slices = 51;

    void advance(local_time now);

    std::array<std::uint32_t, slices> counts_{};
    std::int64_t newest_ = 0;
    std::uint32_t total_ = 0;
};

} // namespace sniperock

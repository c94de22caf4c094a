/** @file clock_type.hpp Time types: a local clock that includes suspend time, and the wall clock
 * that hosts share. */
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace sniperock {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

/** Local monotonic clock that continues while the machine is suspended. */
struct boot_clock {
    using duration = nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock, duration>;
    static constexpr bool is_steady = true;

    /** The current time, from CLOCK_BOOTTIME. */
    static time_point now() noexcept;
};

/** A point in local time; meaningless on another host. */
using local_time = boot_clock::time_point;
/** A point in wall-clock time; transmitted between hosts as microseconds since 1970 in UTC. */
using wall_time = std::chrono::time_point<std::chrono::system_clock, microseconds>;

/** Bound of the times that other processes state: a time point plus this does not overflow. */
inline constexpr milliseconds max_stated_time = std::chrono::hours{24};

/** Converts a time that another process states to whole milliseconds, limited to max_stated_time in
 * both directions. @param ms in milliseconds; 0 if it is no number. */
constexpr milliseconds to_stated_time(double ms) noexcept
{
    constexpr auto limit = static_cast<double>(max_stated_time.count());
    return ms == ms ? milliseconds{static_cast<std::int64_t>(std::clamp(ms, -limit, limit))}
                    : milliseconds{0};
}

/** Current wall-clock time of this machine, which may jump. */
wall_time wall_now();

/** Converts a wall-clock time to microseconds since 1970. */
constexpr std::int64_t to_unix_us(wall_time time) noexcept
{
    return time.time_since_epoch().count();
}

} // namespace sniperock

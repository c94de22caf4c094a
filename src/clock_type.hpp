/** @file clock_type.hpp Time types: a local clock that counts suspend and a wall clock shared by
 * hosts. */
#pragma once

#include <chrono>
#include <cstdint>

namespace sniperock {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

/** Local time that never steps back and goes on while the machine is suspended. */
struct boot_clock {
    using duration = nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock, duration>;
    static constexpr bool is_steady = true;

    /** The current time, from CLOCK_BOOTTIME. */
    static time_point now() noexcept;
};

/** A point of local time; meaningless on another host. */
using local_time = boot_clock::time_point;
/** A point of wall-clock time; carried between hosts as microseconds since 1970 in UTC. */
using wall_time = std::chrono::time_point<std::chrono::system_clock, microseconds>;

/** Wall-clock time of this machine, which may step. */
wall_time wall_now();

/** Microseconds since 1970 of a wall-clock time. */
constexpr std::int64_t to_unix_us(wall_time time) noexcept
{
    return time.time_since_epoch().count();
}

} // namespace sniperock

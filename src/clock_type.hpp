/** @file clock_type.hpp Time types: a local clock that counts suspend and a wall clock shared by
 * hosts. */
#pragma once

#include <chrono>
#include <concepts>
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

/** A source of both times, passed by constructor so that tests choose the time. */
template <typename T>
concept clock_source = requires(const T& clock) {
    {
        clock.now()
    } -> std::same_as<local_time>;
    {
        clock.wall_now()
    } -> std::same_as<wall_time>;
};

/** The clocks of the operating system. */
struct system_clock_source {
    /** Local time. */
    [[nodiscard]] static local_time now() noexcept { return boot_clock::now(); }
    /** Wall-clock time. */
    [[nodiscard]] static wall_time wall_now();
};

/** A clock that moves only when told to; for tests. */
class manual_clock {
public:
    /** Local time. */
    [[nodiscard]] local_time now() const { return now_; }
    /** Wall-clock time. */
    [[nodiscard]] wall_time wall_now() const { return wall_; }
    /** Moves both clocks on by @p step, which must not be negative. */
    void advance(nanoseconds step);

private:
    local_time now_{std::chrono::hours{1}};
    wall_time wall_{std::chrono::hours{24 * 365 * 50}};
};

/** Microseconds since 1970 of a wall-clock time. */
constexpr std::int64_t to_unix_us(wall_time time) noexcept
{
    return time.time_since_epoch().count();
}

/** The wall-clock time that is @p us microseconds after 1970. */
constexpr wall_time from_unix_us(std::int64_t us) noexcept
{
    return wall_time{microseconds{us}};
}

} // namespace sniperock

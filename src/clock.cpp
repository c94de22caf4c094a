/** @file clock.cpp Reads the operating system's clocks. */
#include "clock_type.hpp"

#include <ctime>

namespace sniperock {

boot_clock::time_point boot_clock::now() noexcept
{
    timespec reading{};
    clock_gettime(CLOCK_BOOTTIME, &reading);
    return time_point{seconds{reading.tv_sec} + nanoseconds{reading.tv_nsec}};
}

wall_time wall_now()
{
    return std::chrono::time_point_cast<microseconds>(std::chrono::system_clock::now());
}

} // namespace sniperock

/** @file refusal.cpp When a refused caller should come back. */
#include "refusal.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

namespace sniperock {
namespace {

/** Range of the pause as parts of the target. */
constexpr double least_part = 0.2;
constexpr double most_part = 0.8;
/** Callers honour a pause up to a third of the time that they have left. */
constexpr int honoured_part = 3;

} // namespace

std::string format_retry_after(milliseconds pause)
{
    std::array<char, 32> text{};
    const auto size = std::snprintf(text.data(), text.size(), "%.3f",
                                    std::chrono::duration<double>(pause).count());
    return {text.data(), static_cast<std::size_t>(size)};
}

milliseconds retry_delay(milliseconds target, milliseconds left, random_engine& random)
{
    std::uniform_real_distribution<double> part{least_part, most_part};
    const auto pause =
        milliseconds{static_cast<std::int64_t>(static_cast<double>(target.count()) * part(random))};
    return std::clamp(pause, milliseconds{1}, std::max(left / honoured_part, milliseconds{1}));
}

} // namespace sniperock

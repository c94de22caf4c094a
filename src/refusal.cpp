/** @file refusal.cpp Computes the delay after which a refused caller should retry. */
#include "refusal.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

namespace sniperock {
namespace {

/** Range of the delay, as fractions of the target latency. */
constexpr double min_target_fraction = 0.2;
constexpr double max_target_fraction = 0.8;
/** Callers honour a delay of up to a third of their remaining time. */
constexpr int max_delay_divisor = 3;

} // namespace

std::string format_retry_after(milliseconds delay)
{
    std::array<char, 32> text{};
    const auto size = std::snprintf(text.data(), text.size(), "%.3f",
                                    std::chrono::duration<double>(delay).count());
    return {text.data(), static_cast<std::size_t>(size)};
}

milliseconds retry_delay(milliseconds target_latency, milliseconds remaining, random_engine& random)
{
    std::uniform_real_distribution<double> fraction{min_target_fraction, max_target_fraction};
    const auto delay = milliseconds{
        static_cast<std::int64_t>(static_cast<double>(target_latency.count()) * fraction(random))};
    return std::clamp(delay, milliseconds{1},
                      std::max(remaining / max_delay_divisor, milliseconds{1}));
}

} // namespace sniperock

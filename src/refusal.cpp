/** @file refusal.cpp Computes the delay after which a refused caller should retry. */
#include "refusal.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

namespace sniperock {
namespace {

/** Range of the delay of a retry that can be in time, as fractions of the target latency. */
constexpr double min_target_fraction = 0.2;
constexpr double max_target_fraction = 0.8;
/** The time left for a retry in time must be at least this fraction of the target latency;
 * otherwise the delays have no room for jitter. */
constexpr double min_window_fraction = 0.1;
/** Range of the delay of a retry that will be late, as fractions of the target latency: a shortage
 * lasts longer than a single request. */
constexpr double min_late_fraction = 0.5;
constexpr double max_late_fraction = 2;
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

milliseconds retry_delay(const refused_request& refused, random_engine& random)
{
    using fractional_ms = std::chrono::duration<double, std::milli>;
    const fractional_ms target = refused.target_latency;
    const fractional_ms latest =
        std::min(target * max_target_fraction,
                 target - fractional_ms{refused.elapsed} - fractional_ms{refused.work_ms});
    fractional_ms min = target * min_late_fraction;
    fractional_ms max = target * max_late_fraction;
    if (latest >= target * min_window_fraction) {
        min = std::min(target * min_target_fraction, latest / 2);
        max = latest;
        if (refused.yielded) {
            min = (min + max) / 2;
        }
    }
    std::uniform_real_distribution<double> delay_ms{min.count(), max.count()};
    const milliseconds delay{static_cast<std::int64_t>(delay_ms(random))};
    return std::clamp(delay, milliseconds{1},
                      std::max(refused.remaining / max_delay_divisor, milliseconds{1}));
}

} // namespace sniperock

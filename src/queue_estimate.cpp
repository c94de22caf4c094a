/** @file queue_estimate.cpp Estimates waits from measured slot times. */
#include "queue_estimate.hpp"

#include <algorithm>
#include <cmath>

namespace sniperock {
namespace {

constexpr double sample_weight = 1.0 / 32;

nanoseconds from_count(double value)
{
    return nanoseconds{static_cast<std::int64_t>(value)};
}

} // namespace

void slot_time::add(nanoseconds held)
{
    const auto value = static_cast<double>(held.count());
    if (mean_ns_ <= 0) {
        mean_ns_ = value;
        return;
    }
    deviation_ns_ += (std::abs(value - mean_ns_) - deviation_ns_) * sample_weight;
    mean_ns_ += (value - mean_ns_) * sample_weight;
}

nanoseconds slot_time::mean() const
{
    return from_count(mean_ns_);
}

nanoseconds slot_time::bound(double spreads) const
{
    return from_count(mean_ns_ + deviation_ns_ * spreads);
}

nanoseconds expected_wait(const queue_state& state)
{
    if (state.limit == 0 || state.share <= 0) {
        return nanoseconds{0};
    }
    const double turns = static_cast<double>(state.ahead + 1) / (state.limit * state.share);
    return from_count(turns * static_cast<double>(state.held.count()));
}

nanoseconds time_to_run(const slot_time& held, nanoseconds left, double spreads)
{
    return std::min(held.bound(spreads), std::max(held.mean(), left / 2));
}

} // namespace sniperock

/** @file store_budget.cpp Holds store calls to a rate, the more important ones first. */
#include "store_budget.hpp"

#include <algorithm>

namespace sniperock {
namespace {

/** Share of the burst that each priority leaves to those before it. */
constexpr std::array reserve_shares{0.0, 0.1, 0.5};

double reserve_of(store_priority priority, const store_budget_limits& limits)
{
    return reserve_shares.at(static_cast<std::size_t>(priority)) * limits.burst;
}

} // namespace

store_budget::store_budget(store_budget_limits limits, local_time now)
    : limits_(limits), tokens_(limits.burst), last_(now)
{
}

nanoseconds store_budget::take(store_priority priority, local_time now)
{
    const std::chrono::duration<double> passed = std::max(now - last_, nanoseconds{0});
    last_ = std::max(last_, now);
    tokens_ = std::min(limits_.burst, tokens_ + passed.count() * limits_.rate);
    const double lacking = reserve_of(priority, limits_) + 1 - tokens_;
    if (lacking <= 0) {
        tokens_ -= 1;
        return nanoseconds{0};
    }
    const std::chrono::duration<double> wait{lacking / limits_.rate};
    return std::chrono::duration_cast<nanoseconds>(wait) + nanoseconds{1};
}

store_backoff::store_backoff(store_backoff_limits limits, std::uint64_t seed)
    : limits_(limits), pause_(limits.first), random_(seed)
{
}

milliseconds store_backoff::next()
{
    std::uniform_int_distribution<std::int64_t> draw(pause_.count() / 2, pause_.count());
    const milliseconds result{draw(random_)};
    pause_ = std::min(pause_ * 2, limits_.last);
    return result;
}

void store_backoff::reset()
{
    pause_ = limits_.first;
}

} // namespace sniperock

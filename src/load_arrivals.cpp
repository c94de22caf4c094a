/** @file load_arrivals.cpp When the calls of a stream are meant to be sent. */
#include "load_arrivals.hpp"

#include <algorithm>
#include <random>
#include <ranges>

namespace sniperock {
namespace {

nanoseconds to_time(double gap_seconds)
{
    return std::chrono::duration_cast<nanoseconds>(std::chrono::duration<double>{gap_seconds});
}

double to_seconds(nanoseconds time)
{
    return std::chrono::duration<double>{time}.count();
}

} // namespace

load_arrivals::load_arrivals(const load_stream& stream, double share, double phase,
                             std::uint64_t seed)
    : stream_(stream), rate_(stream.rate * share), random_(seed), first_gap_left_(1.0 - phase)
{
}

double load_arrivals::factor_at(nanoseconds at) const
{
    double factor = 1.0;
    for (const auto& step : stream_.steps) {
        factor = step.at <= at ? step.factor : factor;
    }
    return factor;
}

const rate_step* load_arrivals::step_after(nanoseconds at) const
{
    const auto found =
        std::ranges::find_if(stream_.steps, [at](const rate_step& step) { return step.at > at; });
    return found == stream_.steps.end() ? nullptr : &*found;
}

nanoseconds load_arrivals::next()
{
    // Work left until the next call, in calls; a step changes how fast it is used up.
    std::exponential_distribution<double> draw(1.0);
    double left = stream_.shape == arrival_shape::poisson ? draw(random_) : first_gap_left_;
    first_gap_left_ = 1.0;
    while (true) {
        const double rate = rate_ * factor_at(now_);
        const auto* step = step_after(now_);
        if (rate <= 0 && step == nullptr) {
            now_ = nanoseconds::max();
            return now_;
        }
        const double calls_before_step =
            step == nullptr ? left : rate * to_seconds(step->at - now_);
        if (step == nullptr || left <= calls_before_step) {
            now_ += to_time(left / rate);
            return now_;
        }
        left -= calls_before_step;
        now_ = step->at;
    }
}

} // namespace sniperock

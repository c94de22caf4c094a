/** @file upstream_failures.cpp How requests fared lately at one upstream. */
#include "upstream_type.hpp"

#include <algorithm>
#include <cmath>

namespace sniperock {
namespace {

/** Weight of the newest request; three failures in a row count as nearly always failing. */
constexpr double newest_weight = 0.4;
/** After so long without a request half of the distrust is forgotten. */
constexpr std::chrono::duration<double> half_life{4};
/** First pause after a silence, and the longest; a tenth of a usual restart and a few seconds. */
constexpr milliseconds first_pause{250};
constexpr milliseconds longest_pause{4000};
constexpr unsigned most_doublings = 4;

} // namespace

double failure_record::ratio(local_time now) const
{
    const std::chrono::duration<double> age = now - at_;
    return ratio_ * std::exp2(-age / half_life);
}

void failure_record::succeeded(local_time now)
{
    ratio_ = ratio(now) * (1 - newest_weight);
    at_ = now;
}

void failure_record::record_failure(local_time now)
{
    ratio_ = ratio(now) * (1 - newest_weight) + newest_weight;
    at_ = now;
}

bool failure_record::record_no_response(local_time now)
{
    const auto pause = first_pause * (1U << std::min(silences_, most_doublings));
    silent_until_ = now + std::min<milliseconds>(pause, longest_pause);
    return silences_++ == 0;
}

} // namespace sniperock

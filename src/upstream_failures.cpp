/** @file upstream_failures.cpp Failure ratio and backoff of one upstream. */
#include "upstream_type.hpp"

#include <algorithm>
#include <cmath>

namespace sniperock {
namespace {

/** Weight of the newest request in the moving average; three failures in a row rate the upstream as
 * nearly always failing. */
constexpr double newest_weight = 0.4;
/** Time without requests after which the failure ratio has decayed by half. */
constexpr std::chrono::duration<double> half_life{4};
/** Backoff after the first missing answer, and its upper limit: a tenth of the usual restart time,
 * and a few seconds. */
constexpr milliseconds initial_backoff{250};
constexpr milliseconds max_backoff{4000};
constexpr unsigned max_doublings = 4;

} // namespace

double failure_record::ratio(local_time now) const
{
    const std::chrono::duration<double> age = now - updated_at_;
    return ratio_ * std::exp2(-age / half_life);
}

void failure_record::record_success(local_time now)
{
    ratio_ = ratio(now) * (1 - newest_weight);
    updated_at_ = now;
}

void failure_record::record_failure(local_time now)
{
    ratio_ = ratio(now) * (1 - newest_weight) + newest_weight;
    updated_at_ = now;
}

bool failure_record::record_no_response(local_time now)
{
    const auto backoff =
        initial_backoff * (1U << std::min(consecutive_no_responses_, max_doublings));
    backoff_until_ = now + std::min<milliseconds>(backoff, max_backoff);
    return consecutive_no_responses_++ == 0;
}

} // namespace sniperock

/** @file rollout_share.cpp Which share of a service's requests its new version gets. */
#include "rollout_share.hpp"

#include "hash_func.hpp"

#include <algorithm>
#include <cmath>

namespace sniperock {
namespace {

/** Part of the allowed share that is used while a version is judged. The rest is for the short time
 * in which all requests have moved and the order has not succeeded. */
constexpr double judged_part = 0.5;
/** Share of the step before all requests move. */
constexpr double step_share = 0.25;
/** Time from success to the deadline: for the age of the order when it was first read, the write to
 * the store and its repeats. */
constexpr milliseconds end_margin{1500};
/** The same if requests still run at the old version. */
constexpr milliseconds least_end_margin{700};
/** The margins take at most this part of a short order. */
constexpr double max_margin_part = 0.2;
/** Even a short order judges for this fraction of its duration. */
constexpr int least_judged_divisor = 3;
/** Time within which requests begin to move; the judges decide some ten times a second. */
constexpr milliseconds least_promote_span{500};
/** Load of an active new upstream relative to the average of the others, usually and in each third
 * time slot. */
constexpr double usual_load = 2;
constexpr double high_load = 4;
constexpr std::uint64_t high_load_period = 3;
/** Fewer active upstreams would be slow because of their neighbours rather than their version. */
constexpr std::size_t min_active = 3;

} // namespace

rollout_schedule plan_rollout(milliseconds duration)
{
    const auto limited = [duration](milliseconds margin) {
        return std::min(margin,
                        std::chrono::duration_cast<milliseconds>(duration * max_margin_part));
    };
    const auto succeed_at = duration - limited(end_margin);
    const auto latest = duration - limited(least_end_margin);
    const auto moving_time = rollout_step_time + rollout_settle_time;
    const auto promote_at = std::max(succeed_at - moving_time, duration / least_judged_divisor);
    return {promote_at, std::max(latest - moving_time, promote_at + least_promote_span), succeed_at,
            latest};
}

double target_share(double max_share, rollout_state state, milliseconds state_age)
{
    switch (state) {
    case rollout_state::running:
        return max_share * judged_part;
    case rollout_state::promoting:
        return state_age < rollout_step_time ? std::max(step_share, max_share) : 1;
    case rollout_state::succeeded:
        return 1;
    default:
        return 0;
    }
}

std::size_t active_targets(double share, std::size_t stable, std::size_t target, std::uint64_t slot)
{
    if (share >= 1) {
        return target;
    }
    const double load = slot % high_load_period == 0 ? high_load : usual_load;
    const auto count = std::ceil(share * static_cast<double>(stable) / load);
    return std::min(std::max(static_cast<std::size_t>(count), min_active), target);
}

std::uint64_t active_rank(std::string_view upstream_id, std::uint64_t slot)
{
    return stable_hash(upstream_id, slot);
}

} // namespace sniperock

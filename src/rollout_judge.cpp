/** @file rollout_judge.cpp Decides whether a new version of a service is good or bad. */
#include "rollout_judge.hpp"

#include "rollout_share.hpp"

#include <algorithm>
#include <bit>
#include <cmath>

namespace sniperock {
namespace {

/** Failures before a version may be bad: with fewer, a single caller's requests could do it. */
constexpr std::uint64_t min_failures = 5;
/** A version is bad if it fails more than this share of its requests and this multiple of the old
 * version's share. Usual errors of good versions are below one in a hundred. */
constexpr double min_failed_share = 0.1;
constexpr double failed_share_factor = 2;
/** The share of a good version scatters around the old one's by this many standard deviations at
 * most. Otherwise chance decides among few answers while both versions fail. */
constexpr double failed_share_scatter = 3;
/** Part of the used upstreams that must have failed a request: fewer are faults of single
 * upstreams. A bad version that fails one request in ten has this after seven requests for each. */
constexpr double min_failed_spread = 0.4;
/** Upstreams per failure that are enough, too: where requests are rare, most upstreams get only
 * one, and not more of them fail than requests do. */
constexpr double min_failed_apart = 0.8;
/** Measured times before a version may be slow. */
constexpr std::uint64_t min_timed = 12;
/** A version is slow if the binary logarithms of its times are on average this much above those of
 * the old version, plus this divided by the root of their number: a single time scatters by about
 * 0.9, and a third of the requests that are eight times as slow are a difference of 1. */
constexpr double min_log_excess = 0.5;
constexpr double log_scatter = 3;
constexpr double log_unit = 1000;
/** Requests without which a version is not taken over. */
constexpr std::uint64_t min_proof = 20;
/** Part of the old version's slots that the new one needs. */
constexpr double min_room = 0.5;

double share_of(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

bool fails(const rollout_evidence& evidence)
{
    const auto& target = evidence.target;
    if (target.failed < min_failures) {
        return false;
    }
    const double usual = share_of(evidence.stable.failed, evidence.stable.ran);
    const double deviation = std::sqrt(usual * (1 - usual) / static_cast<double>(target.ran));
    const double limit = std::max(
        {min_failed_share, failed_share_factor * usual, usual + failed_share_scatter * deviation});
    const double spread = std::min(min_failed_spread * std::popcount(target.used_set),
                                   min_failed_apart * static_cast<double>(target.failed));
    return share_of(target.failed, target.ran) > limit &&
           std::popcount(target.failed_set) >= spread;
}

double mean_log(const version_tally& tally)
{
    return share_of(tally.log_time, tally.timed) / log_unit;
}

bool is_slow(const rollout_evidence& evidence)
{
    const auto& target = evidence.target;
    if (target.timed < min_timed || evidence.stable.timed < min_timed) {
        return false;
    }
    const double excess = mean_log(target) - mean_log(evidence.stable);
    return excess > min_log_excess + log_scatter / std::sqrt(static_cast<double>(target.timed));
}

std::optional<rollout_finding> judge(std::uint64_t route, const rollout_evidence& evidence)
{
    if (fails(evidence)) {
        return rollout_finding{rollout_fault::failures, route, evidence};
    }
    if (is_slow(evidence)) {
        return rollout_finding{rollout_fault::slowness, route, evidence};
    }
    return std::nullopt;
}

rollout_evidence sum_of(const std::vector<route_evidence>& routes,
                        rollout_evidence route_evidence::*span)
{
    rollout_evidence sum;
    for (const auto& item : routes) {
        sum += item.*span;
    }
    return sum;
}

/** Why a version without a known fault may not get all requests. */
std::optional<rollout_finding> find_obstacle(const rollout_progress& progress)
{
    const auto total = sum_of(progress.routes, &route_evidence::total);
    if (total.target.ran < min_proof) {
        return rollout_finding{rollout_fault::unproven, 0, total};
    }
    if (static_cast<double>(progress.target_slots) <
        min_room * static_cast<double>(progress.stable_slots)) {
        return rollout_finding{rollout_fault::no_room, 0, total};
    }
    return std::nullopt;
}

} // namespace

version_tally& version_tally::operator+=(const version_tally& other)
{
    ran += other.ran;
    failed += other.failed;
    timed += other.timed;
    log_time += other.log_time;
    used_set |= other.used_set;
    failed_set |= other.failed_set;
    return *this;
}

rollout_evidence& rollout_evidence::operator+=(const rollout_evidence& other)
{
    target += other.target;
    stable += other.stable;
    return *this;
}

std::optional<rollout_finding> find_fault(const std::vector<route_evidence>& routes)
{
    for (const auto& item : routes) {
        for (const auto& span : {item.recent, item.total}) {
            if (auto found = judge(item.route, span)) {
                return found;
            }
        }
    }
    // Times differ from route to route, so that only failures are summed.
    for (const auto span : {&route_evidence::recent, &route_evidence::total}) {
        if (const auto sum = sum_of(routes, span); fails(sum)) {
            return rollout_finding{rollout_fault::failures, 0, sum};
        }
    }
    return std::nullopt;
}

rollout_decision decide_rollout(const rollout_progress& progress)
{
    if (const auto finding = find_fault(progress.routes)) {
        return {rollout_step::condemn, finding};
    }
    const auto schedule = plan_rollout(progress.duration);
    if (progress.state == rollout_state::promoting) {
        const bool settled = progress.state_age >= rollout_step_time + rollout_settle_time;
        const bool moved = progress.stable_running == 0 || progress.age >= schedule.latest;
        return {settled && moved ? rollout_step::succeed : rollout_step::wait};
    }
    if (progress.age < schedule.promote_at) {
        return {};
    }
    const auto obstacle = find_obstacle(progress);
    if (!obstacle && progress.age <= schedule.promote_until) {
        return {rollout_step::promote};
    }
    if (progress.age < schedule.succeed_at) {
        return {};
    }
    // Callers are served by the old version, which is known to be good.
    return {rollout_step::condemn,
            obstacle ? obstacle
                     : rollout_finding{rollout_fault::unproven, 0,
                                       sum_of(progress.routes, &route_evidence::total)}};
}

} // namespace sniperock

/** @file quota_bucket.cpp The part of an account's quota that one VM holds, as a token bucket. */
#include "quota_bucket.hpp"

#include "hash_func.hpp"

#include <algorithm>
#include <cmath>

namespace sniperock {
namespace {

/** Part of the permitted excess that the holders use; the rest covers VMs whose views of the fleet
 * differ. */
constexpr double used_excess = 0.5;
/** Of that, the part that raises the rate, so that a small account is served by the holders that
 * are left; the rest raises the capacity, as arrivals are uneven. */
constexpr double excess_in_rate = 0.5;
/** Requests per window of each holder: fewer holders would lose more with each VM, and more of
 * them would have single tokens that are hard to find. */
constexpr double requests_per_holder = 10;
/** All but one of the holders may be lost. */
constexpr double min_holders = 3;
constexpr double min_requests_per_holder = 2;
/** A bucket that holds less than a token never lets a request pass. */
constexpr double min_capacity = 1;
/** Longest time that is stated until the next token. */
constexpr milliseconds max_time_to_token{60'000};

double in_seconds(nanoseconds time)
{
    return std::chrono::duration<double>(time).count();
}

/** Requests in a window that the quota itself grants. */
double granted_per_window(const quota_limit& limit, const quota_bounds& bounds)
{
    return limit.rate * in_seconds(bounds.window) + limit.burst;
}

/** Requests in a window that the holders let pass in addition to that. */
double excess_used(const quota_limit& limit, const quota_bounds& bounds)
{
    return used_excess * (quota_allowance(limit, bounds) - granted_per_window(limit, bounds));
}

} // namespace

quota_subject subject_of(std::string_view account)
{
    return {stable_hash(account)};
}

double quota_allowance(const quota_limit& limit, const quota_bounds& bounds)
{
    return granted_per_window(limit, bounds) * (1 + bounds.overshoot) + bounds.slack;
}

std::size_t quota_holder_count(const quota_limit& limit, const quota_bounds& bounds,
                               std::size_t vms)
{
    const double parts = granted_per_window(limit, bounds) + excess_used(limit, bounds);
    const double wanted = std::max(parts / requests_per_holder, min_holders);
    // A part of less than that would seldom be a whole token.
    const double possible = std::max(parts / min_requests_per_holder, 1.0);
    return std::min(static_cast<std::size_t>(std::ceil(
                        std::min({wanted, std::floor(possible), static_cast<double>(vms)}))),
                    vms);
}

quota_share share_of_quota(const quota_limit& limit, const quota_bounds& bounds,
                           std::size_t holders)
{
    const double parts = static_cast<double>(std::max<std::size_t>(holders, 1));
    const double excess = excess_used(limit, bounds);
    const double per_window = (granted_per_window(limit, bounds) + excess) / parts;
    const double capacity = (limit.burst + excess * (1 - excess_in_rate)) / parts;
    const double raised = std::min(std::max(capacity, min_capacity), per_window);
    return {(per_window - raised) / in_seconds(bounds.window), raised};
}

quota_bucket::quota_bucket(quota_share share, double tokens, local_time now)
    : share_(share), tokens_(std::min(tokens, share.capacity)), filled_at_(now)
{
}

void quota_bucket::set_share(quota_share share, local_time now)
{
    refill(now);
    share_ = share;
    tokens_ = std::min(tokens_, share_.capacity);
}

void quota_bucket::limit_tokens(double most, local_time now)
{
    refill(now);
    tokens_ = std::min(tokens_, most);
}

std::size_t quota_bucket::take(std::size_t wanted, local_time now)
{
    refill(now);
    const auto taken = std::min(wanted, static_cast<std::size_t>(tokens_));
    tokens_ -= static_cast<double>(taken);
    return taken;
}

void quota_bucket::give_back(local_time now)
{
    refill(now);
    tokens_ = std::min(tokens_ + 1, share_.capacity);
}

milliseconds quota_bucket::time_to_token(local_time now)
{
    refill(now);
    if (tokens_ >= 1) {
        return milliseconds{0};
    }
    if (share_.rate <= 0 || share_.capacity < 1) {
        return max_time_to_token;
    }
    const auto ms = std::ceil((1 - tokens_) / share_.rate * milliseconds::period::den);
    return std::min(to_stated_time(ms), max_time_to_token);
}

bool quota_bucket::is_full(local_time now)
{
    refill(now);
    return tokens_ >= share_.capacity;
}

void quota_bucket::refill(local_time now)
{
    const auto elapsed = std::max(now - filled_at_, nanoseconds{0});
    tokens_ = std::min(tokens_ + share_.rate * in_seconds(elapsed), share_.capacity);
    filled_at_ = std::max(now, filled_at_);
}

} // namespace sniperock

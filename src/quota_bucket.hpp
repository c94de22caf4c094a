/** @file quota_bucket.hpp The part of an account's quota that one VM holds, as a token bucket. */
#pragma once

#include "clock_type.hpp"
#include "strong_id.hpp"

#include <cstddef>
#include <string_view>

namespace sniperock {

/** Identifies an account among VMs; equal on all of them. */
using quota_subject = strong_id<struct quota_subject_tag>;

quota_subject subject_of(std::string_view account);

/** How far the fleet may exceed the quotas. */
struct quota_bounds {
    /** Time over which requests are counted; 0 if quotas are not enforced. */
    milliseconds window{0};
    /** Part of a quota by which it may be exceeded. */
    double overshoot = 0;
    /** Requests per window in addition to that. */
    double slack = 0;

    friend bool operator==(const quota_bounds&, const quota_bounds&) = default;
};

/** Quota of an account over the whole fleet. */
struct quota_limit {
    /** Requests per second; 0 for no limit. */
    double rate = 0;
    /** Requests over the rate that may be sent at once. */
    double burst = 0;

    friend bool operator==(const quota_limit&, const quota_limit&) = default;
};

/** The part of a quota that each of its holders has. */
struct quota_share {
    /** Tokens per second. */
    double rate = 0;
    double capacity = 0;
};

/** Most requests of an account in any window over the whole fleet. */
double quota_allowance(const quota_limit& limit, const quota_bounds& bounds);

/** Number of VMs that hold a part of the quota; at most @p vms. */
std::size_t quota_holder_count(const quota_limit& limit, const quota_bounds& bounds,
                               std::size_t vms);

/** The part of one of @p holders VMs. All parts together let pass less than the allowance; what is
 * left covers VMs whose views of the fleet differ for a time. */
quota_share share_of_quota(const quota_limit& limit, const quota_bounds& bounds,
                           std::size_t holders);

/** Token bucket. In any time it lets pass what it can hold and what is added meanwhile. */
class quota_bucket {
public:
    quota_bucket(quota_share share, double tokens, local_time now);

    /** Changes the share; tokens beyond the new capacity are lost. */
    void set_share(quota_share share, local_time now);
    /** Drops the tokens beyond @p most. */
    void limit_tokens(double most, local_time now);
    /** Takes up to @p wanted tokens. @return how many. */
    std::size_t take(std::size_t wanted, local_time now);
    /** Puts back a token that no request has used. */
    void give_back(local_time now);
    /** Time until a token can be taken. */
    [[nodiscard]] milliseconds time_to_token(local_time now);
    [[nodiscard]] bool is_full(local_time now);

private:
    void refill(local_time now);

    quota_share share_;
    double tokens_;
    local_time filled_at_;
};

} // namespace sniperock

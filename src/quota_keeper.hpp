/** @file quota_keeper.hpp The parts of the accounts' quotas that this VM holds. */
#pragma once

#include "quota_bucket.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sniperock {

/** What a holder grants. */
struct quota_grant {
    std::size_t tokens = 0;
    /** Time until it can grant another one; 0 without tokens if it does not know yet whether it
     * holds a part. */
    milliseconds next_in{0};
};

/** Quotas by account; an account without a limit is not among them. */
using quota_limits = std::map<quota_subject, quota_limit>;

/**
 * Decides which VMs hold a part of an account's quota, and keeps this VM's parts. The holders are
 * those with the lowest hashes of account and name among the VMs that are remembered. A part that
 * this VM has just come to hold starts empty, as the previous holder may have used all of it.
 */
class quota_keeper {
public:
    explicit quota_keeper(std::string self) : self_(std::move(self)), names_{self_} {}

    /** Takes over settings and a configuration; a lower limit takes effect at once. */
    void configure(const quota_bounds& bounds, const quota_limits& limits, local_time now);
    /** @param settled this VM knows the fleet well enough to be a holder. @param unused_since since
     * when no process has used the parts that this VM comes to hold with this fleet. */
    void set_fleet(std::vector<std::string> names, bool settled, local_time unused_since);
    [[nodiscard]] bool settled() const { return settled_; }

    [[nodiscard]] bool is_limited(quota_subject account) const;
    [[nodiscard]] const quota_bounds& bounds() const { return bounds_; }
    /** Names of the holders of an account's quota; null if it has no limit. Valid until the next
     * change of the fleet or of the limits. */
    const std::vector<std::string>* holders(quota_subject account, local_time now);
    /** Most tokens that a holder can have at a time; at least 1. */
    std::size_t part_capacity(quota_subject account, local_time now);
    /** Takes up to @p wanted tokens out of this VM's part; none if it holds none. */
    quota_grant take(quota_subject account, std::size_t wanted, local_time now);
    /** Puts back a token taken here whose request was sent to no upstream. */
    void give_back(quota_subject account, local_time now);

private:
    struct part {
        /** Number of the view that the holders were picked by. */
        std::uint64_t view = 0;
        std::vector<std::string> holders;
        std::optional<quota_bucket> bucket;
    };

    struct known_limit {
        quota_limit limit;
        /** When it replaced another one; the start of time if it did not. */
        local_time since;

        friend bool operator==(const known_limit&, const known_limit&) = default;
    };

    part* find_part(quota_subject account, local_time now);
    void update_bucket(part& item, const known_limit& known, local_time now) const;
    [[nodiscard]] std::vector<std::string> pick_holders(quota_subject account,
                                                        const quota_limit& limit) const;

    std::string self_;
    quota_bounds bounds_;
    std::map<quota_subject, known_limit> limits_;
    /** Accounts that lost their limit within a window, and when. */
    std::map<quota_subject, local_time> ended_;
    std::vector<std::string> names_;
    bool settled_ = false;
    /** Incremented with each change of the fleet or of a limit. */
    std::uint64_t view_ = 1;
    /** Since when no process has used a part that this VM came to hold with the last change. */
    local_time unused_since_;
    std::map<quota_subject, part> parts_;
};

} // namespace sniperock

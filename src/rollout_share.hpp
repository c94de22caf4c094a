/** @file rollout_share.hpp Which share of a service's requests its new version gets. */
#pragma once

#include "rollout_type.hpp"

#include <cstddef>
#include <string_view>
#include <vector>

namespace sniperock {

/** Time for which the new version gets all requests before an order succeeds: what runs at the
 * upstreams of the old one, which stop then, ends meanwhile. */
inline constexpr milliseconds rollout_settle_time{1000};
/** Time of the step between the small share and all requests. */
inline constexpr milliseconds rollout_step_time{800};

/** Times of a roll-out, since its order. */
struct rollout_schedule {
    /** Requests begin to move to the new version. */
    milliseconds promote_at{0};
    /** Latest time at which they may begin to. */
    milliseconds promote_until{0};
    /** The order succeeds. */
    milliseconds succeed_at{0};
    /** After this, it is too late to wait for anything. */
    milliseconds latest{0};
};

/** Plans a roll-out. Its end is judged as late as possible, as a version may turn bad late, and
 * leaves time to tell the VMs and the store. */
rollout_schedule plan_rollout(milliseconds duration);

/**
 * Share of a service's requests that its new version gets, 0 to 1. Each VM sends this share of its
 * own requests, so that the sum over all VMs stays below the bound whichever VMs they know.
 */
double target_share(double max_share, rollout_state state, milliseconds state_age);

/**
 * Number of new upstreams that get the share at a time. They are fewer than would match the load of
 * the others, so that a version shows how it behaves under load while it gets a small share.
 * @param stable upstreams of the other versions.
 * @param slot number of the time slot; each third one has the highest load.
 */
std::size_t active_targets(double share, std::size_t stable, std::size_t target,
                           std::uint64_t slot);

/** Rank of an upstream in a time slot; those with the lowest are active, on every VM. */
std::uint64_t active_rank(std::string_view upstream_id, std::uint64_t slot);

} // namespace sniperock

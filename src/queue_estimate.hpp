/** @file queue_estimate.hpp How long calls hold a slot, and what that means for a waiting call. */
#pragma once

#include "clock_type.hpp"

#include <cstddef>
#include <cstdint>

namespace sniperock {

/** Mean and spread of the time that calls hold a slot, from recent calls. */
class slot_time {
public:
    void add(nanoseconds held);
    /** 0 until the first call. */
    [[nodiscard]] nanoseconds mean() const;
    /** A time that most calls keep within: the mean and @p spreads mean deviations. */
    [[nodiscard]] nanoseconds bound(double spreads) const;

private:
    double mean_ns_ = 0;
    double deviation_ns_ = 0;
};

/** What the estimate of a wait needs to know. */
struct queue_state {
    /** Calls that will be served before this one, of its own plan. */
    std::size_t ahead = 0;
    /** Part (0 to 1) of the service that its plan gets. */
    double share = 1;
    /** Calls that the servers run at a time. */
    std::uint32_t limit = 0;
    /** Mean time that a call holds a slot. */
    nanoseconds held{0};
};

/** Expected time until a waiting call gets a slot. */
nanoseconds expected_wait(const queue_state& state);

/** Time to keep for running a call that has @p left until its deadline. */
nanoseconds time_to_run(const slot_time& held, nanoseconds left, double spreads);

} // namespace sniperock

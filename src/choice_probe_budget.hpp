/** @file choice_probe_budget.hpp Limits probes to this VM's share of the fleet's probe rate. */
#pragma once

#include "clock_type.hpp"

#include <cstddef>

namespace sniperock {

/** The fleet's probe limit and the values from which this VM's share is computed. */
struct probe_bounds {
    /** Maximum average number of probes per second that one upstream receives from the fleet. */
    double rate = 0;
    std::size_t upstreams = 0;
    std::size_t vms = 1;
};

/**
 * A token bucket for probes. The limit is an average over upstreams and time, so a VM may spend
 * tokens saved during low load, on whichever upstreams it needs reports from.
 */
class probe_budget {
public:
    /** Takes a token for one probe. @return false if the bucket is empty. */
    bool spend(const probe_bounds& bounds, local_time now);
    /** Fill level of the bucket as a fraction of its capacity, 0 to 1. */
    [[nodiscard]] double fill_ratio() const { return fill_ratio_; }

private:
    /** The bucket starts full. */
    double fill_ratio_ = 1;
    local_time refilled_at_;
};

} // namespace sniperock

/** @file choice_probe_budget.hpp This VM's share of the probes that the fleet may send. */
#pragma once

#include "clock_type.hpp"

#include <cstddef>

namespace sniperock {

/** What the share is worked out from. */
struct probe_bounds {
    /** Probes that an upstream may get each second on average. */
    double rate = 0;
    std::size_t upstreams = 0;
    std::size_t vms = 1;
};

/**
 * A bucket of probes. The bound is an average over upstreams and time, so a VM may spend what it
 * saved in calm times, on whichever upstreams it needs to know about.
 */
class probe_budget {
public:
    /** Counts a probe if one is allowed. */
    bool spend(const probe_bounds& bounds, local_time now);
    /** Part of the bucket that is left, 0 to 1. */
    [[nodiscard]] double fill_ratio() const { return fill_; }

private:
    /** Part of the bucket that is left; it starts full. */
    double fill_ = 1;
    local_time at_;
};

} // namespace sniperock

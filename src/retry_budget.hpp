/** @file retry_budget.hpp This VM's share of the repeats that the fleet may send to a service. */
#pragma once

#include "sliding_count.hpp"

#include <cstddef>

namespace sniperock {

/** The fleet's bound on repeats of one service. */
struct retry_bounds {
    /** Repeats for each request. */
    double ratio = 0.2;
    /** Repeats beyond that. */
    double slack = 0;
    milliseconds window{10'000};
};

/**
 * Counts requests and repeats of one service in a sliding window.
 *
 * Only a VM that ran for a whole window may use its share of the slack: the process that it
 * replaced may have spent it.
 */
class retry_budget {
public:
    retry_budget(retry_bounds bounds, local_time started)
        : bounds_(bounds), started_(started), requests_(bounds.window), repeats_(bounds.window)
    {
    }

    void count_request(local_time now) { requests_.add(now); }
    /** Counts a repeat if one is allowed. @param vms VMs that may be running. */
    bool spend(local_time now, std::size_t vms);
    /** Repeats that may be sent now. */
    [[nodiscard]] double left(local_time now, std::size_t vms);

private:
    retry_bounds bounds_;
    local_time started_;
    sliding_count requests_;
    sliding_count repeats_;
};

} // namespace sniperock

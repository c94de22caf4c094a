/** @file retry_budget.hpp Limits retries to this VM's share of a service's retry budget. */
#pragma once

#include "sliding_count.hpp"

#include <cstddef>

namespace sniperock {

/** The fleet's limit on the retries of one service. */
struct retry_bounds {
    /** Retries allowed per request. */
    double ratio = 0.2;
    /** Retries allowed per window in addition to that. */
    double slack = 0;
    milliseconds window{10'000};
};

/**
 * Counts the requests and retries of one service in a sliding window.
 *
 * A VM uses its share of the slack only after it has run for a whole window, since the process that
 * it replaced may have spent that share.
 */
class retry_budget {
public:
    retry_budget(retry_bounds bounds, local_time started)
        : bounds_(bounds), started_(started), requests_(bounds.window), retries_(bounds.window)
    {
    }

    void count_request(local_time now) { requests_.add(now); }
    /** Counts a retry if the budget allows one. @param vms number of VMs that may be running.
     * @return false if the budget is exhausted. */
    bool spend(local_time now, std::size_t vms);
    /** Number of retries that may be sent now. */
    [[nodiscard]] double remaining(local_time now, std::size_t vms);

private:
    retry_bounds bounds_;
    local_time started_;
    sliding_count requests_;
    sliding_count retries_;
};

} // namespace sniperock

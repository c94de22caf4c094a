/** @file choice_probe_budget_test.cpp Limits on the probes of one VM under various loads. */
#include "choice_probe_budget.hpp"

#include <catch2/catch.hpp>

using namespace sniperock;

namespace {

constexpr probe_bounds bounds{60, 27, 13};

/** Number of probes allowed if @p requested_per_s are requested per second for @p duration_s
 * seconds. */
int allowed(int requested_per_s, int duration_s)
{
    probe_budget budget;
    local_time now{seconds{1000}};
    int count = 0;
    for (int i = 0; i < requested_per_s * duration_s; ++i) {
        now += nanoseconds{seconds{1}} / requested_per_s;
        count += budget.spend(bounds, now) ? 1 : 0;
    }
    return count;
}

} // namespace

TEST_CASE(
    "a VM with more than its share of the callers may exceed its share of probes for some seconds")
{
    // While the other VMs restart, this one probes each of a few upstreams often for some seconds.
    CHECK(allowed(200, 5) == 1000);
}

TEST_CASE("in a long overload, a VM stays within its share of the fleet's probes")
{
    constexpr double share_per_s = 60.0 * 27 / 13;
    CHECK(allowed(1000, 100) <= share_per_s * 100);
    CHECK(allowed(1000, 100) >= share_per_s * 100 * 0.7);
}

TEST_CASE(
    "without known upstreams and VMs, one probe is allowed and the share does not divide by zero")
{
    probe_budget budget;
    CHECK(budget.spend({60, 0, 0}, local_time{seconds{1}}));
    CHECK_FALSE(budget.spend({60, 0, 0}, local_time{seconds{1}}));
}

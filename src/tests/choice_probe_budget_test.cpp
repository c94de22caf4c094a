/** @file choice_probe_budget_test.cpp Loads on which the probes of one VM are bounded. */
#include "choice_probe_budget.hpp"

#include <catch2/catch.hpp>

using namespace sniperock;

namespace {

constexpr probe_bounds bounds{60, 27, 13};

/** Probes allowed of @p wanted a second over some seconds. */
int allowed(int wanted_per_s, int seconds_long)
{
    probe_budget budget;
    local_time now{seconds{1000}};
    int count = 0;
    for (int at = 0; at < wanted_per_s * seconds_long; ++at) {
        now += nanoseconds{seconds{1}} / wanted_per_s;
        count += budget.spend(bounds, now) ? 1 : 0;
    }
    return count;
}

} // namespace

TEST_CASE("a VM with more than its share of the callers may probe more than an equal share")
{
    // The others restart; this one asks each of few upstreams often for some seconds.
    CHECK(allowed(200, 5) == 1000);
}

TEST_CASE("in a long overload a VM keeps to its share of the fleet's probes")
{
    constexpr double share_per_s = 60.0 * 27 / 13;
    CHECK(allowed(1000, 100) <= share_per_s * 100);
    CHECK(allowed(1000, 100) >= share_per_s * 100 * 0.7);
}

TEST_CASE("without known upstreams the share does not divide by zero")
{
    probe_budget budget;
    CHECK(budget.spend({60, 0, 0}, local_time{seconds{1}}));
    CHECK_FALSE(budget.spend({60, 0, 0}, local_time{seconds{1}}));
}

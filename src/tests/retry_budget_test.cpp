/** @file retry_budget_test.cpp Loads on which repeats are bounded. */
#include "retry_budget.hpp"

#include <catch2/catch.hpp>

using namespace sniperock;

namespace {

constexpr retry_bounds bounds{0.2, 56, seconds{10}};

} // namespace

TEST_CASE("failing upstreams: the repeats of 13 VMs stay within the fleet's bound")
{
    const local_time start{seconds{100}};
    std::size_t repeats = 0;
    constexpr int vms = 13;
    constexpr int requests = 80;
    for (int vm = 0; vm < vms; ++vm) {
        retry_budget budget(bounds, start - seconds{60});
        for (int at = 0; at < requests; ++at) {
            const auto now = start + milliseconds{at * 100};
            budget.count_request(now);
            while (budget.spend(now, vms)) {
                ++repeats;
            }
        }
    }
    CHECK(static_cast<double>(repeats) <= 0.2 * vms * requests + 56);
    CHECK(repeats > 0);
}

TEST_CASE("restart: a new process does not spend the slack that the old one may have spent")
{
    const local_time start{seconds{100}};
    retry_budget budget(bounds, start);
    CHECK_FALSE(budget.spend(start, 1));
    CHECK_FALSE(budget.spend(start + milliseconds{9'999}, 1));
    CHECK(budget.spend(start + seconds{10}, 1));
}

TEST_CASE("repeats come back as the window moves on")
{
    const local_time start{seconds{100}};
    retry_budget budget({0, 10, seconds{10}}, start - seconds{60});
    int first = 0;
    while (budget.spend(start, 1)) {
        ++first;
    }
    CHECK(first == 9);
    CHECK_FALSE(budget.spend(start + seconds{9}, 1));
    CHECK(budget.spend(start + seconds{10}, 1));
}

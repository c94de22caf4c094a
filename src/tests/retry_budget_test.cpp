/** @file retry_budget_test.cpp Limits on retries under various loads. */
#include "retry_budget.hpp"

#include <catch2/catch.hpp>

using namespace sniperock;

namespace {

constexpr retry_bounds bounds{0.2, 56, seconds{10}};

} // namespace

TEST_CASE("failing upstreams: the retries of 13 VMs stay within the fleet's limit")
{
    const local_time start{seconds{100}};
    std::size_t retries = 0;
    constexpr int vms = 13;
    constexpr int requests = 80;
    for (int vm = 0; vm < vms; ++vm) {
        retry_budget budget(bounds, start - seconds{60});
        for (int i = 0; i < requests; ++i) {
            const auto now = start + milliseconds{i * 100};
            budget.count_request(now);
            while (budget.spend(now, vms)) {
                ++retries;
            }
        }
    }
    CHECK(static_cast<double>(retries) <= 0.2 * vms * requests + 56);
    CHECK(retries > 0);
}

TEST_CASE("restart: a new process does not spend the slack that the old one may have spent")
{
    const local_time start{seconds{100}};
    retry_budget budget(bounds, start);
    CHECK_FALSE(budget.spend(start, 1));
    CHECK_FALSE(budget.spend(start + milliseconds{9'999}, 1));
    CHECK(budget.spend(start + seconds{10}, 1));
}

TEST_CASE("the budget recovers as retries leave the window")
{
    const local_time start{seconds{100}};
    retry_budget budget({0, 10, seconds{10}}, start - seconds{60});
    int allowed = 0;
    while (budget.spend(start, 1)) {
        ++allowed;
    }
    CHECK(allowed == 9);
    CHECK_FALSE(budget.spend(start + seconds{9}, 1));
    CHECK(budget.spend(start + seconds{10}, 1));
}

/** @file choice_estimate_test.cpp Estimates of a route's requests from the answers so far. */
#include "choice_estimate.hpp"

#include <catch2/catch.hpp>

using namespace sniperock;

TEST_CASE("before the first answer, the estimate is derived from the target latency")
{
    choice_estimates estimates;
    route item;
    item.name = "status";
    item.target_latency = milliseconds{300};
    item.kind = request_kind::idempotent;
    CHECK(estimates.for_route(item).work_ms < 300);
    CHECK(estimates.for_route(item).retryable);
}

TEST_CASE(
    "work is normalized to normal speed by the slowness of the upstream at the time of the choice")
{
    choice_estimates estimates;
    route item;
    item.name = "status";
    for (int i = 0; i < 200; ++i) {
        estimates.update(item, i % 2 == 0 ? 100 : 400, i % 2 == 0 ? 1 : 4, 5000);
    }
    CHECK(estimates.for_route(item).work_ms == Approx(100));
    CHECK(estimates.for_route(item).answer_bytes == Approx(5000));
}

TEST_CASE("memory use stays bounded while routes are added and removed")
{
    choice_estimates estimates;
    route item;
    for (int i = 0; i < 10'000; ++i) {
        item.name = "r-" + std::to_string(i);
        estimates.update(item, 10, 1, 100);
    }
    CHECK(estimates.for_route(item).work_ms == Approx(10));
}

TEST_CASE(
    "a slow first answer of a route leaves the estimate within the target, so that it is corrected")
{
    choice_estimates estimates;
    route item;
    item.name = "book";
    item.target_latency = milliseconds{300};
    estimates.update(item, 5000, 1, 100);
    const auto target = static_cast<double>(item.target_latency.count());
    // Slowdown on the last slot of an upstream at normal speed, the worst case under low load.
    constexpr double last_slot = 1.6;
    CHECK(estimates.for_route(item).work_ms * last_slot <= target);
    for (int i = 0; i < 200; ++i) {
        estimates.update(item, 20, 1, 100);
    }
    CHECK(estimates.for_route(item).work_ms < 30);
}

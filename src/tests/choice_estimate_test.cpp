/** @file choice_estimate_test.cpp What is learned of a route's requests. */
#include "choice_estimate.hpp"

#include <catch2/catch.hpp>

using namespace sniperock;

TEST_CASE("before the first answer the target is the only hint")
{
    choice_estimates estimates;
    route item;
    item.name = "status";
    item.target_latency = milliseconds{300};
    item.kind = request_kind::idempotent;
    CHECK(estimates.of(item).work_ms < 300);
    CHECK(estimates.of(item).repeatable);
}

TEST_CASE("work is learned as at usual speed, whatever the speed when it was chosen")
{
    choice_estimates estimates;
    route item;
    item.name = "status";
    for (int at = 0; at < 200; ++at) {
        estimates.learn(item, at % 2 == 0 ? 100 : 400, at % 2 == 0 ? 1 : 4, 5000);
    }
    CHECK(estimates.of(item).work_ms == Approx(100));
    CHECK(estimates.of(item).answer_bytes == Approx(5000));
}

TEST_CASE("routes that come and go do not fill the memory")
{
    choice_estimates estimates;
    route item;
    for (int at = 0; at < 10'000; ++at) {
        item.name = "r-" + std::to_string(at);
        estimates.learn(item, 10, 1, 100);
    }
    CHECK(estimates.of(item).work_ms == Approx(10));
}

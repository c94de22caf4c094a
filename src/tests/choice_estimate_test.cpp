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
    CHECK(estimates.for_route(item).work_ms < 300);
    CHECK(estimates.for_route(item).repeatable);
}

TEST_CASE("work is learned as at usual speed, whatever the speed when it was chosen")
{
    choice_estimates estimates;
    route item;
    item.name = "status";
    for (int at = 0; at < 200; ++at) {
        estimates.update(item, at % 2 == 0 ? 100 : 400, at % 2 == 0 ? 1 : 4, 5000);
    }
    CHECK(estimates.for_route(item).work_ms == Approx(100));
    CHECK(estimates.for_route(item).answer_bytes == Approx(5000));
}

TEST_CASE("routes that come and go do not fill the memory")
{
    choice_estimates estimates;
    route item;
    for (int at = 0; at < 10'000; ++at) {
        item.name = "r-" + std::to_string(at);
        estimates.update(item, 10, 1, 100);
    }
    CHECK(estimates.for_route(item).work_ms == Approx(10));
}

TEST_CASE("one slow first answer: the route's requests are still taken, so that it is learned anew")
{
    choice_estimates estimates;
    route where;
    where.name = "book";
    where.target_latency = milliseconds{300};
    estimates.update(where, 5000, 1, 100);
    const auto target = static_cast<double>(where.target_latency.count());
    // On the last slot at usual speed, the least that a calm service offers.
    constexpr double last_slot = 1.6;
    CHECK(estimates.for_route(where).work_ms * last_slot <= target);
    for (int at = 0; at < 200; ++at) {
        estimates.update(where, 20, 1, 100);
    }
    CHECK(estimates.for_route(where).work_ms < 30);
}

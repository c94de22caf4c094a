/** @file store_budget_test.cpp Priorities of the store budget and pauses after an outage. */
#include "config_fake_store.hpp"
#include "store_budgeted.hpp"

#include <catch2/catch.hpp>

using namespace sniperock;

TEST_CASE("less important calls leave a reserve to the more important ones")
{
    manual_clock clock;
    store_budget budget({10, 100}, clock.now());
    const auto drain = [&](store_priority priority) {
        int taken = 0;
        while (budget.take(priority, clock.now()) == nanoseconds{0}) {
            ++taken;
        }
        return taken;
    };
    CHECK(drain(store_priority::status) == 50);
    CHECK(drain(store_priority::configuration) == 40);
    CHECK(drain(store_priority::ownership) == 10);
    CHECK(budget.take(store_priority::ownership, clock.now()) > nanoseconds{0});
}

TEST_CASE("over any time no more is taken than burst and rate allow")
{
    manual_clock clock;
    store_budget budget({10, 20}, clock.now());
    int taken = 0;
    for (int step = 0; step < 10'000; ++step) {
        clock.advance(milliseconds{1});
        taken += budget.take(store_priority::ownership, clock.now()) == nanoseconds{0} ? 1 : 0;
    }
    CHECK(taken <= 20 + 10 * 10);
    CHECK(taken >= 10 * 10);
}

TEST_CASE("the wait that is named is enough")
{
    manual_clock clock;
    store_budget budget({10, 20}, clock.now());
    while (budget.take(store_priority::configuration, clock.now()) == nanoseconds{0}) {
    }
    clock.advance(budget.take(store_priority::configuration, clock.now()));
    CHECK(budget.take(store_priority::configuration, clock.now()) == nanoseconds{0});
}

TEST_CASE("pauses grow to a bound, differ between vms and begin anew")
{
    store_backoff left({milliseconds{50}, milliseconds{2'000}}, 1);
    store_backoff right({milliseconds{50}, milliseconds{2'000}}, 2);
    int different = 0;
    for (int count = 0; count < 20; ++count) {
        const auto pause = left.next();
        CHECK(pause >= milliseconds{25});
        CHECK(pause <= milliseconds{2'000});
        different += pause != right.next() ? 1 : 0;
    }
    CHECK(different > 10);
    CHECK(left.next() >= milliseconds{1'000});
    left.reset();
    CHECK(left.next() <= milliseconds{50});
}

TEST_CASE("a call without a token fails as if the store were down, and is not made")
{
    manual_clock clock;
    metrics measured;
    fake_store inner;
    shared_store_budget budget({1, 10}, clock.now(), measured);
    while (budget.take(store_priority::ownership, clock.now()) == nanoseconds{0}) {
    }
    budgeted_store<fake_store, manual_clock> store(
        inner, budget, clock, store_priority::configuration, [](nanoseconds) {});
    CHECK_THROWS_AS(store.get("k"), store_unavailable);
    CHECK(store.put("k", "v", 0).status == put_status::unavailable);
    CHECK(inner.reads == 0);
    CHECK(inner.writes == 0);
    CHECK(measured.text().find("sniperock_store_refused_total 2") != std::string::npos);
}

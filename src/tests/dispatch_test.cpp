/** @file dispatch_test.cpp Slots and waiting calls. */
#include "dispatch.hpp"

#include <catch2/catch.hpp>

using namespace sniperock;

namespace {

/** A dispatcher of one service with one server, and a clock. */
struct fixture {
    fixture() { slots.set_owned({{"portal", {{"s0", "127.0.0.1", 1, "north", 2, 2}}}}); }

    void ask(milliseconds timeout = milliseconds{1000})
    {
        slots.acquire({"portal", "gold", call_class::safe, clock.now() + timeout, {}}, clock.now(),
                      clock.wall_now(),
                      [this](grant_result result) { results.push_back(std::move(result)); });
    }

    manual_clock clock;
    dispatcher slots{{{"vm-a", incarnation{1}}, "north"}, {2, "owner"}, {}};
    std::vector<grant_result> results;
};

} // namespace

TEST_CASE("a server never gets more calls than it has slots")
{
    fixture test;
    test.ask();
    test.ask();
    test.ask();
    REQUIRE(test.results.size() == 2);
    CHECK(test.slots.status().front().waiting == 1);
    test.slots.release(std::get<grant>(test.results[0]), {}, test.clock.now(),
                       test.clock.wall_now());
    CHECK(test.results.size() == 3);
}

TEST_CASE("a cancelled call is not called back and leaves its place")
{
    fixture test;
    test.ask();
    test.ask();
    const auto ticket =
        test.slots.acquire({"portal", "gold", call_class::safe, test.clock.now() + seconds{1}, {}},
                           test.clock.now(), test.clock.wall_now(),
                           [&](grant_result result) { test.results.push_back(std::move(result)); });
    REQUIRE(ticket.value != 0);
    CHECK(test.slots.cancel(ticket));
    CHECK_FALSE(test.slots.cancel(ticket));
    test.slots.release(std::get<grant>(test.results[0]), {}, test.clock.now(),
                       test.clock.wall_now());
    CHECK(test.results.size() == 2);
}

TEST_CASE("nothing is granted without a lease")
{
    fixture test;
    test.slots.set_lease(test.clock.now());
    test.ask();
    CHECK(test.results.empty());
}

TEST_CASE("a full queue and a passed deadline are refused")
{
    fixture test;
    for (int call = 0; call < 5; ++call) {
        test.ask(milliseconds{10});
    }
    REQUIRE(test.results.size() == 3);
    CHECK(std::get<refusal>(test.results[2]).reason == refusal_reason::queue_full);
    test.clock.advance(milliseconds{11});
    test.slots.expire(test.clock.now());
    REQUIRE(test.results.size() == 5);
    CHECK(std::get<refusal>(test.results[4]).reason == refusal_reason::deadline);
}

/** @file queue_fair_test.cpp Shares between plans and order within one. */
#include "queue_fair.hpp"

#include <catch2/catch.hpp>

#include <map>

using namespace sniperock;

namespace {

const local_time start{std::chrono::hours{1}};

/** A queue that always has calls of two plans waiting. */
struct fixture {
    void push(const std::string& plan, milliseconds due = seconds{1})
    {
        queue.push({call_ticket{++last}, plan, start + due});
    }
    std::string serve(double cost = 1)
    {
        const auto next = queue.heads(1).at(0);
        queue.erase(next.ticket);
        queue.charge(next.plan, cost);
        return next.plan;
    }
    fair_queue queue;
    std::uint64_t last = 0;
};

} // namespace

TEST_CASE("plans are served by weight, whatever each of them asks for")
{
    fixture test;
    test.queue.set_weight("gold", 3);
    test.queue.set_weight("basic", 1);
    std::map<std::string, int> served;
    for (int count = 0; count < 400; ++count) {
        test.push("gold");
        test.push("basic");
        test.push("basic");
        ++served[test.serve()];
    }
    CHECK(served["gold"] >= 299);
    CHECK(served["gold"] <= 301);
}

TEST_CASE("an unused share is lent and comes back at once")
{
    fixture test;
    for (int count = 0; count < 1000; ++count) {
        test.push("basic");
        CHECK(test.serve() == "basic");
    }
    test.push("basic");
    test.push("basic");
    test.push("gold");
    // Basic owes nothing for the idle time, and gold waits for one turn at most.
    const bool at_once = test.serve() == "gold" || test.serve() == "gold";
    CHECK(at_once);
}

TEST_CASE("within a plan the earliest deadline goes first")
{
    fixture test;
    test.push("gold", milliseconds{30});
    test.push("gold", milliseconds{10});
    test.push("gold", milliseconds{20});
    CHECK(test.queue.heads(1).at(0).ticket == call_ticket{2});
    CHECK(test.queue.position("gold", start + milliseconds{20}) == 2);
    const auto due = test.queue.take_due(start + milliseconds{20});
    CHECK(due.size() == 2);
    CHECK(test.queue.size() == 1);
}

TEST_CASE("a blocked plan waits and does not hold up the others")
{
    fixture test;
    test.push("gold");
    test.push("basic");
    test.queue.set_blocked("basic", true);
    CHECK(test.serve() == "gold");
    CHECK(test.queue.heads(1).empty());
    test.queue.set_blocked("basic", false);
    CHECK(test.serve() == "basic");
}

TEST_CASE("a full queue drops from the plan most over its share")
{
    fixture test;
    test.queue.set_weight("gold", 4);
    for (int count = 0; count < 6; ++count) {
        test.push("gold");
    }
    test.push("basic", milliseconds{10});
    test.push("basic", milliseconds{20});
    const auto victim = test.queue.overflow("gold");
    REQUIRE(victim);
    CHECK(victim->plan == "basic");
    CHECK(victim->deadline == start + milliseconds{20});
    CHECK_FALSE(test.queue.overflow("basic"));
}

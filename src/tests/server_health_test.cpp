/** @file server_health_test.cpp Suspension, draining and the cost of a server. */
#include "server_state.hpp"

#include <catch2/catch.hpp>

using namespace sniperock;

namespace {

const wall_time wall{std::chrono::hours{1}};

/** A server of two slots that is warm at once. */
struct fixture {
    void end(call_result result, milliseconds latency = milliseconds{5}, bool error = false)
    {
        call_report report;
        report.result = result;
        report.latency = latency;
        report.server_error = error;
        take_report(server, report, {}, clock.now());
    }
    [[nodiscard]] bool takes(call_class kind = call_class::safe) const
    {
        return can_take(server, kind, clock.now(), wall);
    }
    manual_clock clock;
    server_state server{{"s", "127.0.0.1", 1, "north", 2, 2}, clock.now()};
};

} // namespace

TEST_CASE("a refused connection suspends at once; single safe trial calls bring the server back")
{
    fixture test;
    test.end(call_result::not_sent);
    CHECK_FALSE(test.takes());
    test.clock.advance(milliseconds{100});
    CHECK(test.takes());
    CHECK_FALSE(test.takes(call_class::non_idempotent));
    test.server.in_flight = 1;
    CHECK_FALSE(test.takes());
    test.end(call_result::not_sent);
    test.server.in_flight = 0;
    test.clock.advance(milliseconds{100});
    CHECK_FALSE(test.takes());
    test.clock.advance(milliseconds{100});
    CHECK(test.takes());
    test.end(call_result::answered);
    CHECK(test.takes(call_class::non_idempotent));
}

TEST_CASE("errors and sheds in a row suspend, and a single one costs like slowness")
{
    for (const auto result : {call_result::answered, call_result::shed, call_result::failed}) {
        fixture test;
        test.end(call_result::answered);
        const auto before = test.server.health.cost();
        test.end(result, milliseconds{1}, true);
        CHECK(test.takes());
        CHECK(test.server.health.cost() > before * 5);
        for (int count = 0; count < 4; ++count) {
            test.end(result, milliseconds{1}, true);
        }
        CHECK_FALSE(test.takes());
    }
}

TEST_CASE("a draining server takes nothing until a probe says otherwise")
{
    fixture test;
    call_report report;
    report.result = call_result::shed;
    report.load = load_report{server_phase::draining, 0, 2};
    take_report(test.server, report, {}, test.clock.now());
    test.clock.advance(std::chrono::hours{1});
    CHECK_FALSE(test.takes());
    test.end(call_result::answered);
    CHECK_FALSE(test.takes());
    CHECK(test.server.health.on_probe({server_phase::warm, 0, 2}, test.clock.now()));
    CHECK(test.takes());
}

TEST_CASE("the owner policy leaves the slow neighbour and the fast failer for last")
{
    const auto policy = policy_registry::instance().make("owner");
    random_engine random(1);
    fixture slow;
    fixture failing;
    fixture good;
    slow.end(call_result::answered, milliseconds{40});
    failing.end(call_result::answered, milliseconds{1}, true);
    good.end(call_result::answered, milliseconds{5});
    good.server.in_flight = 1;
    const std::vector sights{sight_of(slow.server), sight_of(failing.server),
                             sight_of(good.server)};
    CHECK(policy->choose(sights, random) == 2U);
}

TEST_CASE("every policy chooses a server if there is one")
{
    random_engine random(1);
    for (const auto& name : policy_registry::instance().names()) {
        INFO(name);
        const auto policy = policy_registry::instance().make(name);
        CHECK_FALSE(policy->choose({}, random));
        std::vector<server_sight> sights(3);
        for (int count = 0; count < 10; ++count) {
            CHECK(policy->choose(sights, random).value() < 3U);
        }
        CHECK(policy->uses_ownership() == (name == "owner"));
    }
    CHECK_THROWS_AS(policy_registry::instance().make("none"), unknown_plugin);
}

/** @file permit_test.cpp Each message failure and each change of a server by itself. */
#include "dispatch_fleet.hpp"

#include <catch2/catch.hpp>

using namespace sniperock;
using namespace sniperock::testing;

namespace {

const std::vector<allowance> one_plan{{"gold", "portal"}};

/** Servers that bear all their slots from the start. */
std::vector<server_entry> warm(std::vector<server_entry> entries)
{
    std::ranges::for_each(entries, [](server_entry& entry) { entry.cold_slots = entry.slots; });
    return entries;
}

void steps(fake_fleet& fleet, int count)
{
    for (int step = 0; step < count; ++step) {
        fleet.step();
    }
}

} // namespace

TEST_CASE("a vm without servers gets a permit in one round trip")
{
    fake_fleet fleet(1, {"a", "b"}, warm(make_servers(1, 2)), one_plan, {0, 0, milliseconds{1}});
    const auto& call = fleet.ask("b", "gold", milliseconds{100}, milliseconds{10});
    steps(fleet, 2);
    REQUIRE(call.held);
    CHECK(call.held->owner == "a");
    CHECK(call.held->fence == fleet.clock.wall_now() - milliseconds{2} + milliseconds{100});
    steps(fleet, 20);
    CHECK(fleet.vm("a").status().front().in_flight == 0);
}

TEST_CASE("a call that leaves gives back what it asked for, granted or waiting")
{
    fake_fleet fleet(1, {"a", "b"}, warm(make_servers(1, 1)), one_plan, {0, 0, milliseconds{3}});
    auto& granted = fleet.ask("b", "gold", milliseconds{400}, milliseconds{10});
    fleet.cancel(granted);
    auto& running = fleet.ask("a", "gold", milliseconds{400}, milliseconds{200});
    steps(fleet, 10);
    auto& waiting = fleet.ask("b", "gold", milliseconds{400}, milliseconds{10});
    steps(fleet, 10);
    CHECK(fleet.vm("a").status().front().waiting == 1);
    fleet.cancel(waiting);
    steps(fleet, 10);
    CHECK(fleet.vm("a").status().front().waiting == 0);
    steps(fleet, 300);
    CHECK(running.answers == 1);
    CHECK(granted.answers + waiting.answers == 0);
    CHECK(fleet.vm("a").status().front().in_flight == 0);
}

TEST_CASE("an owner that is gone is asked in vain once, then another")
{
    fake_fleet fleet(1, {"a", "b", "c"}, warm(make_servers(2, 1)), one_plan);
    fleet.crash("a");
    for (int count = 0; count < 6; ++count) {
        fleet.ask("c", "gold", milliseconds{500}, milliseconds{5});
    }
    steps(fleet, 400);
    for (const auto& call : fleet.calls) {
        REQUIRE(call->held);
        CHECK(call->held->owner == "b");
    }
}

TEST_CASE("a permit whose holder died is given back")
{
    fake_fleet fleet(1, {"a", "b"}, warm(make_servers(1, 1)), one_plan);
    fleet.ask("b", "gold", milliseconds{5'000}, milliseconds{4'000});
    steps(fleet, 10);
    fleet.crash("b");
    SECTION("by its fence")
    {
        steps(fleet, 5'200);
    }
    SECTION("soon, once its life is known to be over")
    {
        fleet.vm("a").holder_gone({"b", incarnation{2}}, fleet.clock.wall_now());
        steps(fleet, 1'200);
    }
    CHECK(fleet.vm("a").status().front().in_flight == 0);
}

TEST_CASE("a lost owner's server opens by its own word once no old permit can start, at the latest "
          "when they are over")
{
    for (const bool honest : {true, false}) {
        fake_fleet fleet(1, {"a", "b"}, warm(make_servers(2, 3)), one_plan);
        // Calls fill the server of b, and one of b on the server of a outlives a.
        for (int count = 0; count < 3; ++count) {
            fleet.ask("b", "gold", milliseconds{60'000}, seconds{5});
        }
        const auto& old = fleet.ask("b", "gold", milliseconds{60'000}, seconds{5});
        steps(fleet, 10);
        REQUIRE(old.held);
        CHECK(old.held->owner == "a");
        fleet.crash("a");
        fleet.take_over("s0", "b", fleet.clock.wall_now() + seconds{30});
        const auto start = fleet.clock.now();
        milliseconds opened{0};
        while (opened == milliseconds{0} && fleet.clock.now() - start < seconds{60}) {
            fleet.step();
            const auto now = fleet.clock.now();
            const auto wall = fleet.clock.wall_now();
            for (const auto& order : fleet.vm("b").take_probes(now, wall)) {
                const auto running = honest ? fleet.servers[order.server.server].in_flight : 1;
                fleet.vm("b").on_probe(order.server, load_report{server_phase::warm, running, 3},
                                       now, wall);
            }
            if (fleet.vm("b").status().front().servers.back().limit > 0) {
                opened = std::chrono::duration_cast<milliseconds>(now - start);
            }
        }
        INFO("honest " << honest);
        CHECK(old.done);
        CHECK(opened >= longest_start);
        CHECK(opened <= (honest ? milliseconds{6'000} : milliseconds{31'000}));
        CHECK((honest || opened >= milliseconds{30'000}));
    }
}

TEST_CASE("a waiting call goes where a slot falls free")
{
    fake_fleet fleet(1, {"a", "b"}, warm(make_servers(2, 1)), one_plan, {0, 0, milliseconds{1}});
    fleet.ask("a", "gold", milliseconds{900}, milliseconds{800});
    fleet.ask("b", "gold", milliseconds{900}, milliseconds{60});
    const auto& waiting = fleet.ask("a", "gold", milliseconds{900}, milliseconds{10});
    steps(fleet, 100);
    REQUIRE(waiting.held);
    CHECK(waiting.held->owner == "b");
    CHECK(waiting.granted - waiting.asked < milliseconds{90});
}

TEST_CASE("a server in an out failure domain gets no grant at once, its calls finish")
{
    fake_fleet fleet(1, {"a"}, warm(make_servers(1, 2)), one_plan);
    const auto& running = fleet.ask("a", "gold", milliseconds{500}, milliseconds{50});
    fleet.config.out.domains_out.insert("north");
    fleet.vm("a").apply(std::make_shared<const config_snapshot>(fleet.config));
    const auto& refused = fleet.ask("a", "gold", milliseconds{500}, milliseconds{5});
    REQUIRE(refused.refused);
    CHECK(refused.refused->reason == refusal_reason::no_servers);
    steps(fleet, 60);
    CHECK(running.done);
    CHECK(running.ends < running.deadline);
    fleet.config.out.domains_out.clear();
    fleet.vm("a").apply(std::make_shared<const config_snapshot>(fleet.config));
    CHECK(fleet.ask("a", "gold", milliseconds{500}, milliseconds{5}).held);
}

TEST_CASE("a plan without allowance and an unknown service are refused")
{
    fake_fleet fleet(1, {"a"}, make_servers(1, 2), one_plan);
    CHECK(fleet.ask("a", "stranger", milliseconds{500}, milliseconds{5}).refused->reason ==
          refusal_reason::no_allowance);
    fleet.config.allowances.clear();
    fleet.vm("a").apply(std::make_shared<const config_snapshot>(fleet.config));
    CHECK(fleet.ask("a", "gold", milliseconds{500}, milliseconds{5}).refused->reason ==
          refusal_reason::no_allowance);
}

TEST_CASE("a plan over its rate is refused with the time to come back")
{
    fake_fleet fleet(1, {"a", "b"}, warm(make_servers(2, 3)), {{"gold", "portal", 1, 0, 3}},
                     {0, 0, milliseconds{1}});
    std::size_t refused = 0;
    for (int count = 0; count < 6; ++count) {
        auto& call = fleet.ask("a", "gold", milliseconds{500}, milliseconds{1});
        steps(fleet, 10);
        if (call.refused) {
            ++refused;
            CHECK(call.refused->reason == refusal_reason::plan_rate);
            CHECK(call.refused->retry_after > milliseconds{0});
        }
    }
    CHECK(refused == 3);
}

TEST_CASE("a warm server that turns cold gets one call at a time from all vms together")
{
    for (const std::string policy : {"owner", "round_robin", "least_load", "two_choices"}) {
        INFO(policy);
        fake_fleet fleet(7, {"a", "b", "c", "d"}, make_servers(4, 3), one_plan, {}, policy);
        const auto load = [&](int count) {
            for (int step = 0; step < count; ++step) {
                const std::string home(1, static_cast<char>('a' + fleet.draw(4)));
                fleet.ask(home, "gold", milliseconds{400}, milliseconds{5 + fleet.draw(6)});
                fleet.step();
            }
        };
        load(3'000);
        auto& cold = fleet.servers["s0"];
        CHECK(cold.most_in_flight > 1);
        cold.phase = server_phase::cold;
        load(30);
        cold.most_in_flight = 0;
        load(1'000);
        if (policy == "owner") {
            CHECK(cold.most_in_flight == 1);
        }
        else {
            CHECK(cold.most_in_flight > 1);
        }
    }
}

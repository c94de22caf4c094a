/** @file permit_random_test.cpp Seeded random schedules of losses, hand-overs and deaths. */
#include "dispatch_fleet.hpp"

#include <catch2/catch.hpp>

using namespace sniperock;
using namespace sniperock::testing;

namespace {

constexpr std::uint64_t seeds = 2'000;
constexpr milliseconds longest_deadline{120};
constexpr int steps = 400;

/** The fleet under everything that may go wrong with it. */
class random_schedule {
public:
    explicit random_schedule(std::uint64_t seed)
        : fleet(seed, names, make_servers(6, 3),
                {{"gold", "portal", 3, 4, 0}, {"basic", "portal", 1, 0, 40}},
                {0.05, 0.05, milliseconds{12}})
    {
    }

    void run()
    {
        for (int step = 0; step < steps; ++step) {
            disturb();
            callers();
            fleet.step();
            check_now();
        }
        for (milliseconds rest{0}; rest < longest_deadline * 4; ++rest) {
            fleet.step();
        }
        check_end();
    }

private:
    std::string live_vm()
    {
        std::vector<std::string> live;
        std::ranges::copy_if(names, std::back_inserter(live),
                             [this](const std::string& name) { return fleet.alive(name); });
        return live[fleet.draw(live.size())];
    }

    void callers()
    {
        if (fleet.chance(0.6)) {
            const milliseconds timeout{20 + fleet.draw(100)};
            const milliseconds service{1 + fleet.draw(fleet.chance(0.1) ? 200 : 20)};
            fleet.ask(live_vm(), fleet.chance(0.5) ? "gold" : "basic", timeout, service);
        }
        if (fleet.chance(0.05) && !fleet.calls.empty()) {
            auto& call = *fleet.calls[fleet.draw(fleet.calls.size())];
            if (fleet.alive(call.home)) {
                fleet.cancel(call);
            }
        }
    }

    void disturb()
    {
        if (fleet.chance(0.02)) {
            const std::string server = "s" + std::to_string(fleet.draw(6));
            const auto to = live_vm();
            if (fleet.alive(fleet.servers[server].owner) && fleet.servers[server].owner != to) {
                fleet.hand_over(server, to);
            }
        }
        if (fleet.chance(0.003) && fleet.alive("a") && fleet.alive("b") && fleet.alive("c")) {
            const std::string dead = names[fleet.draw(names.size())];
            fleet.crash(dead);
            for (auto& [name, server] : fleet.servers) {
                if (server.owner == dead) {
                    fleet.take_over(name, live_vm(),
                                    fleet.clock.wall_now() + longest_deadline + fence_margin);
                }
            }
        }
        for (const auto& name : names) {
            if (!fleet.alive(name) && fleet.chance(0.01)) {
                fleet.start_vm(name);
                fleet.spread_view();
            }
        }
    }

    void check_now()
    {
        for (const auto& [name, server] : fleet.servers) {
            INFO("server " << name);
            REQUIRE(server.in_flight <= server.entry.slots);
        }
        REQUIRE(fleet.plan_in_flight["gold"] <= 4);
    }

    void check_end()
    {
        for (const auto& call : fleet.calls) {
            const bool answered_once = call->answers == 1 && !call->cancelled;
            const bool given_up = call->answers == 0 && (call->cancelled || call->lost);
            REQUIRE((answered_once || given_up || call->lost));
            REQUIRE(call->done);
        }
        auto times = fleet.grant_times["basic"];
        std::ranges::sort(times);
        for (std::size_t at = 40; at < times.size(); ++at) {
            REQUIRE(times[at] - times[at - 40] > seconds{1} - milliseconds{1});
        }
        for (const auto& name : names) {
            if (!fleet.alive(name)) {
                continue;
            }
            for (const auto& status : fleet.vm(name).status()) {
                CHECK(status.in_flight == 0);
                CHECK(status.waiting == 0);
            }
        }
    }

    const std::vector<std::string> names{"a", "b", "c"};
    fake_fleet fleet;
};

} // namespace

TEST_CASE("no schedule of losses, hand-overs and deaths overfills a server or a plan's limit")
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        INFO("seed " << seed);
        random_schedule(seed).run();
    }
}

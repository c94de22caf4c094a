/** @file permit_random_test.cpp Seeded random schedules of losses, hand-overs and deaths. */
#include "dispatch_fleet.hpp"

#include <catch2/catch.hpp>

using namespace sniperock;
using namespace sniperock::testing;

namespace {

constexpr std::uint64_t seeds = 2'000;
constexpr milliseconds longest_deadline{120};
constexpr int steps = 400;

/** The fleet_ under everything that may go wrong with it. */
class random_schedule {
public:
    explicit random_schedule(std::uint64_t seed)
        : fleet_(seed, names_, make_servers(6, 3),
                 {{"gold", "portal", 3, 4, 0}, {"basic", "portal", 1, 0, 40}},
                 {0.05, 0.05, milliseconds{12}})
    {
    }

    void run()
    {
        for (int step = 0; step < steps; ++step) {
            disturb();
            callers();
            fleet_.step();
            probe();
            check_now();
        }
        for (milliseconds rest{0}; rest < longest_deadline * 4; ++rest) {
            fleet_.step();
        }
        check_end();
    }

private:
    std::string live_vm()
    {
        std::vector<std::string> live;
        std::ranges::copy_if(names_, std::back_inserter(live),
                             [this](const std::string& name) { return fleet_.alive(name); });
        return live[fleet_.draw(live.size())];
    }

    void callers()
    {
        if (fleet_.chance(0.6)) {
            const milliseconds timeout{20 + fleet_.draw(100)};
            const milliseconds service{1 + fleet_.draw(fleet_.chance(0.1) ? 200 : 20)};
            fleet_.ask(live_vm(), fleet_.chance(0.5) ? "gold" : "basic", timeout, service);
        }
        if (fleet_.chance(0.05) && !fleet_.calls.empty()) {
            auto& call = *fleet_.calls[fleet_.draw(fleet_.calls.size())];
            if (fleet_.alive(call.home)) {
                fleet_.cancel(call);
            }
        }
    }

    /** Servers tell the truth; a closed one may open by it. */
    void probe()
    {
        for (const auto& name : names_) {
            if (!fleet_.alive(name)) {
                continue;
            }
            auto& vm = fleet_.vm(name);
            const auto now = fleet_.clock.now();
            const auto wall = fleet_.clock.wall_now();
            for (const auto& order : vm.take_probes(now, wall)) {
                const auto& server = fleet_.servers[order.server.server];
                vm.on_probe(order.server, load_report{server.phase, server.in_flight, 3}, now,
                            wall);
            }
        }
    }

    void disturb()
    {
        if (fleet_.chance(0.02)) {
            const std::string server = "s" + std::to_string(fleet_.draw(6));
            const auto to = live_vm();
            if (fleet_.alive(fleet_.servers[server].owner) && fleet_.servers[server].owner != to) {
                fleet_.hand_over(server, to);
            }
        }
        if (fleet_.chance(0.003) && fleet_.alive("a") && fleet_.alive("b") && fleet_.alive("c")) {
            const std::string dead = names_[fleet_.draw(names_.size())];
            fleet_.crash(dead);
            for (auto& [name, server] : fleet_.servers) {
                if (server.owner == dead) {
                    fleet_.take_over(name, live_vm(),
                                     fleet_.clock.wall_now() + longest_deadline + fence_margin);
                }
            }
        }
        for (const auto& name : names_) {
            if (!fleet_.alive(name) && fleet_.chance(0.01)) {
                fleet_.start_vm(name);
                fleet_.spread_view();
            }
        }
    }

    void check_now()
    {
        for (const auto& [name, server] : fleet_.servers) {
            INFO("server " << name);
            REQUIRE(server.in_flight <= server.entry.slots);
        }
        REQUIRE(fleet_.plan_in_flight["gold"] <= 4);
    }

    void check_end()
    {
        for (const auto& call : fleet_.calls) {
            const bool answered_once = call->answers == 1 && !call->cancelled;
            const bool given_up = call->answers == 0 && (call->cancelled || call->lost);
            REQUIRE((answered_once || given_up || call->lost));
            REQUIRE(call->done);
        }
        auto times = fleet_.grant_times["basic"];
        std::ranges::sort(times);
        for (std::size_t at = 40; at < times.size(); ++at) {
            REQUIRE(times[at] - times[at - 40] > seconds{1} - milliseconds{1});
        }
        for (const auto& name : names_) {
            if (!fleet_.alive(name)) {
                continue;
            }
            for (const auto& status : fleet_.vm(name).status()) {
                CHECK(status.in_flight == 0);
                CHECK(status.waiting == 0);
            }
        }
    }

    const std::vector<std::string> names_{"a", "b", "c"};
    fake_fleet fleet_;
};

} // namespace

TEST_CASE("no schedule of losses, hand-overs and deaths overfills a server or a plan's limit")
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        INFO("seed " << seed);
        random_schedule(seed).run();
    }
}

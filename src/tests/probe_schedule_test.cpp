/** @file probe_schedule_test.cpp The probe budget over many vms and changes of owner. */
#include "dispatch_fleet.hpp"

#include <catch2/catch.hpp>

using namespace sniperock;
using namespace sniperock::testing;

TEST_CASE("all vms together keep to the probe rate through any change of owner")
{
    constexpr std::size_t rate = 10;
    std::size_t most_in_all = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        INFO("seed " << seed);
        const std::vector<std::string> names{"a", "b", "c", "d", "e"};
        fake_fleet fleet(seed, names, make_servers(7, 3), {{"gold", "portal"}});
        std::vector<local_time> sent;
        for (int step = 0; step < 3'000; ++step) {
            fleet.step();
            for (const auto& name : names) {
                // Nobody answers: every server wants probes all the time.
                for (const auto& order :
                     fleet.vm(name).take_probes(fleet.clock.now(), fleet.clock.wall_now())) {
                    sent.push_back(fleet.clock.now());
                    fleet.vm(name).on_probe(order.server, std::nullopt, fleet.clock.now(),
                                            fleet.clock.wall_now());
                }
            }
            if (fleet.chance(0.01)) {
                const std::string server = "s" + std::to_string(fleet.draw(7));
                const auto& to = names[fleet.draw(names.size())];
                if (fleet.servers[server].owner != to) {
                    fleet.hand_over(server, to);
                }
            }
        }
        for (std::size_t at = rate + 1; at < sent.size(); ++at) {
            REQUIRE(sent[at] - sent[at - rate - 1] >= seconds{1} - milliseconds{50});
        }
        REQUIRE(sent.size() <= 3 * rate + 1);
        most_in_all = std::max(most_in_all, sent.size());
    }
    CHECK(most_in_all >= 2 * rate);
}

TEST_CASE("the slots of a minute hold no more probes than a minute of the rate, at any rate")
{
    constexpr seconds minute{60};
    const wall_time start{std::chrono::hours{24}};
    for (std::uint32_t rate = 1; rate <= 200; ++rate) {
        INFO("rate " << rate);
        std::uint64_t probes = 0;
        auto slot = probe_slot_at(rate, start);
        while (slot.start < start + minute) {
            probes += slot.probes;
            slot = probe_slot_at(rate, slot.start + slot.length);
        }
        CHECK(probes <= rate * static_cast<std::uint64_t>(minute.count()) + 1);
        CHECK(probes > 0);
    }
}

TEST_CASE("a probe goes to the suspended server first and never without a lease")
{
    std::vector<probe_need> needs(3);
    const local_time now{std::chrono::hours{1}};
    CHECK_FALSE(most_needed(needs));
    needs[0] = {probe_need::level::no_answer_lately, now - seconds{9}};
    needs[1] = {probe_need::level::suspended, now - seconds{1}};
    needs[2] = {probe_need::level::suspended, now - seconds{2}};
    CHECK(most_needed(needs) == 2U);

    fake_fleet fleet(1, {"a"}, make_servers(1, 3), {{"gold", "portal"}});
    fleet.vm("a").set_lease(fleet.clock.now());
    for (int step = 0; step < 3'000; ++step) {
        fleet.step();
        CHECK(fleet.vm("a").take_probes(fleet.clock.now(), fleet.clock.wall_now()).empty());
    }
}

/** @file dispatch_test.cpp Slots and waiting calls. */
#include "dispatch.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

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

TEST_CASE("many threads on two vms neither overfill a server nor answer a call twice")
{
    constexpr std::uint32_t slots = 3;
    constexpr int threads = 4;
    constexpr int calls_each = 3'000;
    std::unique_ptr<dispatcher> vms[2];
    std::atomic<std::uint32_t> in_flight{0};
    std::atomic<std::uint32_t> most{0};
    std::atomic<int> answers{0};
    std::atomic<int> cancelled{0};
    const local_time now{std::chrono::hours{1}};
    const wall_time wall{std::chrono::hours{24}};
    for (int at = 0; at < 2; ++at) {
        const peer_identity self{at == 0 ? "a" : "b",
                                 incarnation{static_cast<std::uint64_t>(at + 1)}};
        vms[at] = std::make_unique<dispatcher>(
            dispatch_identity{self, "north"}, dispatch_limits{},
            [&, self](const std::string& to, peer_message_kind kind, const std::string& payload) {
                vms[to == "a" ? 0 : 1]->on_message({kind, self, payload}, now, wall);
                return true;
            });
    }
    ownership_view view;
    view.owners[{"portal", "s0"}] = "a";
    for (const auto& vm : vms) {
        vm->set_owned({{"portal", {}}});
        vm->set_view(std::make_shared<const ownership_view>(view));
    }
    vms[0]->set_owned({{"portal", {{"s0", "127.0.0.1", 1, "north", slots, slots}}}});
    const auto run = [&](dispatcher& vm, int number) {
        for (int call = 0; call < calls_each; ++call) {
            const call_spec spec{"portal", "gold", call_class::safe, now + seconds{10}, {}};
            const auto ticket = vm.acquire(spec, now, wall, [&](const grant_result& result) {
                ++answers;
                if (const auto* slot = std::get_if<grant>(&result)) {
                    const auto running = ++in_flight;
                    auto seen = most.load();
                    while (seen < running && !most.compare_exchange_weak(seen, running)) {
                    }
                    --in_flight;
                    vm.release(*slot, {}, now, wall);
                }
            });
            if ((call + number) % 3 == 0 && vm.cancel(ticket)) {
                ++cancelled;
            }
            vm.tick(now, wall);
        }
    };
    {
        std::vector<std::jthread> running;
        running.reserve(threads);
        for (int number = 0; number < threads; ++number) {
            running.emplace_back(run, std::ref(*vms[number % 2]), number);
        }
    }
    CHECK(answers + cancelled == threads * calls_each);
    CHECK(most <= slots);
    CHECK(vms[0]->status().front().in_flight == 0);
    CHECK(vms[0]->status().front().waiting == 0);
}

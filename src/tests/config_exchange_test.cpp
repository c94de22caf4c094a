/** @file config_exchange_test.cpp The configuration between vms, with losses and partitions. */
#include "config_exchange.hpp"
#include "config_fake_store.hpp"
#include "config_func.hpp"
#include "config_repository.hpp"

#include <catch2/catch.hpp>

#include <deque>
#include <set>

using namespace sniperock;

namespace {

/** A message on its way. */
struct sent_message {
    std::string to;
    peer_message message;
};

/** The network: queues messages; some vms may be cut off. */
struct fake_network {
    std::deque<sent_message> queue;
    std::set<std::string> cut_off;
    std::size_t bytes = 0;
};

/** One vm's link. */
struct fake_sender {
    fake_network& network;
    std::string self;

    bool send(const std::string& vm, peer_message_kind kind, const std::string& payload)
    {
        network.bytes += payload.size();
        if (!network.cut_off.contains(vm) && !network.cut_off.contains(self)) {
            network.queue.push_back({vm, {kind, {self, incarnation{1}}, payload}});
        }
        return true;
    }
};

struct test_vm {
    test_vm(fake_network& network, const manual_clock& clock, const std::string& name)
        : sender{network, name}, exchange(name, sender, clock, keeper)
    {
    }

    fake_sender sender;
    config_keeper keeper;
    config_exchange<fake_sender, manual_clock> exchange;
};

/** Several vms on one network and a store that holds a configuration. */
struct test_fleet {
    explicit test_fleet(std::size_t count, std::size_t services = 3)
    {
        config_snapshot snapshot;
        for (std::size_t at = 0; at < services; ++at) {
            snapshot.services.push_back({"service-" + std::to_string(at),
                                         {},
                                         "/",
                                         1,
                                         {{"a", "127.0.0.1", 80, "north", 3, 1}}});
        }
        config_bootstrap(store, snapshot);
        for (std::size_t at = 0; at < count; ++at) {
            names.push_back("vm-" + std::to_string(at));
            vms.emplace(names.back(), std::make_unique<test_vm>(network, clock, names.back()));
        }
        for (auto& [name, vm] : vms) {
            vm->exchange.set_peers(names);
        }
    }

    test_vm& at(std::size_t number) { return *vms.at(names.at(number)); }

    void deliver()
    {
        while (!network.queue.empty()) {
            const auto next = network.queue.front();
            network.queue.pop_front();
            if (vms.contains(next.to)) {
                vms.at(next.to)->exchange.handle(next.message);
            }
        }
    }

    /** One offer period on every vm. */
    void turn()
    {
        clock.advance(seconds{1});
        for (auto& [name, vm] : vms) {
            vm->exchange.tick();
        }
        deliver();
    }

    /** Vm @p number reads the store. */
    void read_store(std::size_t number)
    {
        auto& vm = at(number);
        vm.keeper.apply(repository.load(vm.keeper.state()).state);
        vm.exchange.announce();
        deliver();
    }

    void change(change_kind kind)
    {
        clock.advance(milliseconds{100});
        const change_request request{{kind, "north", "", true},
                                     make_change_id(clock.wall_now(), ++ids),
                                     "alice",
                                     std::nullopt,
                                     {},
                                     false};
        REQUIRE(repository.accept(request, {}, empty_state()).outcome == change_outcome::accepted);
    }

    std::size_t count_at(std::uint64_t revision) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(vms, [&](const auto& item) {
            return item.second->keeper.state()->head.revision.value == revision;
        }));
    }

    unrecorded_change take_out()
    {
        return {make_change_id(clock.wall_now(), ++ids),
                change_kind::domain_out,
                "north",
                "alice@vm-0",
                to_unix_us(clock.wall_now()),
                1,
                true,
                {}};
    }

    fake_network network;
    manual_clock clock;
    fake_store store;
    std::uint64_t ids = 0;
    config_repository<fake_store, manual_clock> repository{store, clock, 1, [](milliseconds) {}};
    std::vector<std::string> names;
    std::map<std::string, std::unique_ptr<test_vm>> vms;
};

} // namespace

TEST_CASE("one vm that reads the store is enough for all")
{
    test_fleet fleet(13);
    fleet.read_store(0);
    CHECK(fleet.count_at(1) == 13);
    fleet.change(change_kind::domain_out);
    const auto reads = fleet.store.reads;
    fleet.read_store(4);
    CHECK(fleet.count_at(2) == 13);
    CHECK(fleet.store.reads == reads + 2);
    CHECK(fleet.at(12).keeper.snapshot()->out.domains_out.contains("north"));
}

TEST_CASE("a change of one part moves one part")
{
    test_fleet fleet(2, 500);
    fleet.read_store(0);
    REQUIRE(fleet.count_at(1) == 2);
    fleet.change(change_kind::domain_out);
    fleet.network.bytes = 0;
    fleet.read_store(0);
    CHECK(fleet.count_at(2) == 2);
    constexpr std::size_t whole_head_bytes = 30'000;
    CHECK(fleet.network.bytes < whole_head_bytes / 4);
}

TEST_CASE("a new vm learns the last revision from others while the store is down")
{
    test_fleet fleet(3, 200);
    fleet.network.cut_off = {"vm-2"};
    fleet.read_store(0);
    fleet.store.down = true;
    CHECK(fleet.count_at(1) == 2);
    fleet.network.cut_off.clear();
    fleet.turn();
    CHECK(fleet.count_at(1) == 3);
    CHECK(fleet.at(2).keeper.snapshot()->services.size() == 200);
}

TEST_CASE("a vm that missed more changes than are remembered catches up")
{
    test_fleet fleet(2);
    fleet.read_store(0);
    fleet.network.cut_off = {"vm-1"};
    for (std::size_t count = 0; count < max_recent_changes + 10; ++count) {
        fleet.change(count % 2 == 0 ? change_kind::domain_out : change_kind::domain_in);
    }
    fleet.read_store(0);
    fleet.network.cut_off.clear();
    fleet.turn();
    CHECK(fleet.count_at(max_recent_changes + 11) == 2);
}

TEST_CASE("lost, doubled and late messages do not matter in the end, and nothing goes back")
{
    const auto seed = GENERATE(1U, 2U, 3U, 4U, 5U);
    test_fleet fleet(5);
    random_engine random(seed);
    std::vector<std::uint64_t> seen;
    fleet.at(4).keeper.subscribe(
        [&](const auto& snapshot) { seen.push_back(snapshot->revision.value); });
    fleet.read_store(0);
    for (int round = 0; round < 20; ++round) {
        fleet.change(round % 2 == 0 ? change_kind::domain_out : change_kind::domain_in);
        fleet.at(0).keeper.apply(fleet.repository.load(fleet.at(0).keeper.state()).state);
        fleet.at(0).exchange.announce();
        auto& queue = fleet.network.queue;
        std::ranges::shuffle(queue, random);
        const auto size = static_cast<std::ptrdiff_t>(queue.size());
        const std::vector<sent_message> doubled(queue.begin(), queue.begin() + size / 2);
        std::ranges::copy(doubled, std::back_inserter(queue));
        queue.erase(queue.begin(), queue.begin() + size / 3);
        fleet.deliver();
    }
    fleet.turn();
    fleet.turn();
    CHECK(fleet.count_at(21) == 5);
    CHECK(std::ranges::is_sorted(seen));
}

TEST_CASE("a take-out during an outage holds on all that can be reached and survives its taker")
{
    test_fleet fleet(5);
    fleet.read_store(0);
    fleet.store.down = true;
    fleet.network.cut_off = {"vm-4"};
    fleet.turn();
    fleet.at(0).keeper.add_unrecorded({fleet.take_out()});
    fleet.at(0).exchange.announce();
    fleet.deliver();
    const auto is_out = [&](std::size_t number) {
        return fleet.at(number).keeper.snapshot()->out.domains_out.contains("north");
    };
    CHECK((is_out(1) && is_out(2) && is_out(3)));
    CHECK_FALSE(is_out(4));
    fleet.vms.erase("vm-0");
    fleet.network.cut_off.clear();
    fleet.turn();
    CHECK(is_out(4));
}

TEST_CASE("positions tell who has what, and who was not heard")
{
    test_fleet fleet(3);
    fleet.read_store(0);
    fleet.turn();
    fleet.network.cut_off = {"vm-2"};
    for (int count = 0; count < 4; ++count) {
        fleet.turn();
    }
    const auto positions = fleet.at(0).exchange.positions();
    REQUIRE(positions.size() == 2);
    CHECK(fleet.at(0).exchange.is_live(positions.at(0)));
    CHECK_FALSE(fleet.at(0).exchange.is_live(positions.at(1)));
    CHECK(positions.at(0).position.revision.value == 1);
}

TEST_CASE("few watch, and the next takes over from one that is lost or cut off from the store")
{
    constexpr std::size_t watchers = 3;
    test_fleet fleet(13);
    const auto watching = [&] {
        std::set<std::string> result;
        for (const auto& [name, vm] : fleet.vms) {
            if (!fleet.network.cut_off.contains(name) &&
                vm->exchange.store_rank("watch") < watchers) {
                result.insert(name);
            }
        }
        return result;
    };
    fleet.turn();
    const auto first = watching();
    REQUIRE(first.size() == watchers);
    fleet.network.cut_off = {*first.begin()};
    for (int count = 0; count < 4; ++count) {
        fleet.turn();
    }
    const auto second = watching();
    CHECK(second.size() == watchers);
    CHECK_FALSE(second.contains(*first.begin()));
    fleet.vms.at(*second.begin())->exchange.set_store_answers(false);
    fleet.turn();
    std::size_t with_store = 0;
    for (const auto& name : watching()) {
        with_store += name == *second.begin() ? 0 : 1;
    }
    CHECK(with_store == watchers);
}

TEST_CASE("a malformed message changes nothing")
{
    test_fleet fleet(2);
    fleet.read_store(0);
    for (const auto kind : {peer_message_kind::config_offer, peer_message_kind::config_request,
                            peer_message_kind::config_parts}) {
        fleet.at(1).exchange.handle({kind, {"vm-0", incarnation{1}}, "\xff nonsense"});
    }
    config_parts_message forged;
    forged.head = "{}";
    fleet.at(1).exchange.handle(
        {peer_message_kind::config_parts, {"vm-0", incarnation{1}}, encode_payload(forged)});
    CHECK(fleet.count_at(1) == 2);
}

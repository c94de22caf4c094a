/** @file call_relay_test.cpp Which VM sends a request on for another one. */
#include "call_relay.hpp"

#include <catch2/catch.hpp>

using namespace sniperock;

namespace {

struct relay_fixture {
    explicit relay_fixture(int count)
    {
        peers.set_port(7004);
        std::vector<member_entry> entries;
        for (int i = 2; i < 2 + count; ++i) {
            entries.push_back(vm(i));
        }
        members.merge(entries, now);
    }
    static member_entry vm(int number, member_state state = member_state::ready)
    {
        const auto text = std::to_string(number);
        return {"10.0.0." + text, 7000, "vm-" + text, "north", {1}, 1, state};
    }
    upstream_ptr pick(const std::set<std::string>& tried = {})
    {
        return peers.pick("jobs", tried, now);
    }

    local_time now{std::chrono::hours{1}};
    random_engine random{1};
    member_table members{vm(1), seconds{2}};
    member_reach reach{"10.0.0.1"};
    relay_peers peers{members, reach, random};
};

} // namespace

TEST_CASE("a request is passed on to a ready VM that reaches the service, each in its turn")
{
    relay_fixture fleet(3);
    fleet.members.merge({relay_fixture::vm(9, member_state::starting)}, fleet.now);
    fleet.members.merge({relay_fixture::vm(8, member_state::leaving)}, fleet.now);
    fleet.reach.apply({"10.0.0.2", true, {}, milliseconds{0}}, fleet.now);
    std::set<std::string> picked;
    for (int i = 0; i < 50; ++i) {
        picked.insert(fleet.pick()->entry.id);
    }
    CHECK(picked == std::set<std::string>{"vm:vm-3", "vm:vm-4"});
    CHECK(fleet.pick({"vm:vm-3"})->entry.id == "vm:vm-4");
    CHECK(fleet.pick({"vm:vm-3", "vm:vm-4"}) == nullptr);
}

TEST_CASE("no request is passed on if all VMs are cut off or none is known")
{
    relay_fixture alone(0);
    CHECK(alone.pick() == nullptr);
    relay_fixture fleet(2);
    fleet.reach.apply({"10.0.0.2", true, {}, milliseconds{0}}, fleet.now);
    fleet.reach.apply({"10.0.0.3", false, {service_hash("jobs")}, milliseconds{0}}, fleet.now);
    CHECK(fleet.pick() == nullptr);
    fleet.reach.apply({"10.0.0.3", false, {}, milliseconds{0}}, fleet.now);
    CHECK(fleet.pick()->entry.id == "vm:vm-3");
}

TEST_CASE("the work that is passed on is shared evenly by the VMs that can take it")
{
    for (const int size : {12, 200}) {
        relay_fixture fleet(size);
        std::vector<upstream_ptr> busy;
        const int count = 5 * size;
        for (int i = 0; i < count; ++i) {
            busy.push_back(fleet.pick());
            ++busy.back()->in_flight;
        }
        const auto most = std::ranges::max_element(
            busy, {}, [](const upstream_ptr& item) { return item->in_flight; });
        CHECK((*most)->in_flight <= 8);
    }
}

TEST_CASE("a VM that does not answer is passed over for a time")
{
    relay_fixture fleet(1);
    fleet.pick()->failures.record_no_response(fleet.now);
    CHECK(fleet.pick() == nullptr);
    fleet.now += seconds{1};
    fleet.members.merge({[&] {
                            auto entry = relay_fixture::vm(2);
                            entry.sequence = 2;
                            return entry;
                        }()},
                        fleet.now);
    CHECK(fleet.pick() != nullptr);
}

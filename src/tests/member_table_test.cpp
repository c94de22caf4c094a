/** @file member_table_test.cpp Who is alive. */
#include "member_gossip.hpp"
#include "member_table.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace sniperock;

namespace {

const local_time start{seconds{100}};

member_entry entry(int number, std::uint64_t life, std::uint64_t beat,
                   member_state state = member_state::ready)
{
    return {"10.0.0." + std::to_string(number),
            70,
            "vm-" + std::to_string(number),
            "north",
            {life},
            beat,
            state};
}

member_table table()
{
    return {entry(1, 1, 0), milliseconds{2500}};
}

} // namespace

TEST_CASE("a VM whose beat does not grow is dead after the silence, and alive again when it does")
{
    auto members = table();
    CHECK(members.merge({entry(2, 5, 1)}, start));
    CHECK(members.alive(start).size() == 2);
    CHECK_FALSE(members.merge({entry(2, 5, 1)}, start + seconds{2}));
    CHECK(members.alive(start + milliseconds{2500}).size() == 1);
    CHECK(members.possibly_running_names(start + milliseconds{2500}).size() == 2);
    members.merge({entry(2, 5, 2)}, start + seconds{3});
    CHECK(members.alive(start + seconds{3}).size() == 2);
}

TEST_CASE("old news of an earlier life does not hide a VM's new life")
{
    auto members = table();
    members.merge({entry(2, 5, 9)}, start);
    members.merge({entry(2, 6, 1, member_state::starting)}, start);
    CHECK_FALSE(members.merge({entry(2, 5, 10)}, start));
    CHECK(members.alive(start).back().state == member_state::starting);
}

TEST_CASE("a VM that starts with its clock set back is known once its old life is silent")
{
    auto members = table();
    members.merge({entry(2, 5, 9)}, start);
    members.merge({entry(2, 4, 1)}, start + seconds{1});
    CHECK(members.alive(start + seconds{1}).back().life.value == 5);
    members.merge({entry(2, 4, 8)}, start + seconds{3});
    CHECK(members.alive(start + seconds{3}).back().life.value == 4);
}

TEST_CASE("what is said of this VM by others is not taken over")
{
    auto members = table();
    CHECK_FALSE(members.merge({entry(1, 9, 9, member_state::leaving)}, start));
    CHECK(members.alive(start).size() == 1);
    CHECK(members.self().state == member_state::ready);
}

TEST_CASE("a heartbeat carries the newest entries and does not grow with the fleet")
{
    auto members = table();
    for (int at = 2; at < 150; ++at) {
        members.merge({entry(at, 1, 1)}, start + milliseconds{at});
    }
    const auto digest = members.digest(40, start + milliseconds{200});
    CHECK(digest.size() == 41);
    CHECK(digest.front().address == "10.0.0.1");
    CHECK(digest.at(1).address == "10.0.0.149");
}

TEST_CASE("a dead VM is still greeted now and then, and forgotten in the end")
{
    auto members = table();
    members.merge({entry(2, 1, 1)}, start);
    random_engine random{1};
    int greeted = 0;
    for (int at = 0; at < 100; ++at) {
        greeted += static_cast<int>(members.pick_targets(3, random, start + seconds{10}).size());
    }
    CHECK(greeted > 10);
    CHECK(greeted < 60);
    members.merge({}, start + seconds{100});
    CHECK(members.pick_targets(3, random, start + seconds{100}).empty());
}

TEST_CASE("a fleet of 100 hears of a new VM within a few rounds of heartbeats")
{
    constexpr int vms = 100;
    random_engine random{11};
    std::vector<member_table> fleet;
    for (int at = 1; at <= vms; ++at) {
        fleet.emplace_back(entry(at, 1, 0), milliseconds{2500});
    }
    local_time now = start;
    for (int at = 1; at < vms; ++at) {
        for (auto& other : fleet) {
            other.merge({entry(at, 1, 1)}, now);
        }
    }
    // The last VM knows one other.
    fleet.front().merge({fleet.back().self()}, now);
    const auto know = [&] {
        return std::ranges::count_if(fleet, [&](const auto& members) {
            return std::ranges::any_of(members.alive(now), [](const auto& member) {
                return member.address == "10.0.0.100";
            });
        });
    };
    int rounds = 0;
    for (; know() < vms && rounds < 20; ++rounds) {
        now += milliseconds{200};
        for (auto& sender : fleet) {
            sender.beat();
            const auto digest = sender.digest(40, now);
            for (const auto& address : sender.pick_targets(3, random, now)) {
                const auto number = std::stoi(address.substr(7));
                fleet.at(static_cast<std::size_t>(number - 1)).merge(digest, now);
            }
        }
    }
    CHECK(rounds <= 8);
}

TEST_CASE("a heartbeat reads back as it was written")
{
    const std::vector<member_entry> entries{entry(1, 7, 3), entry(2, 8, 4, member_state::leaving)};
    const auto beat = decode_heartbeat(encode_heartbeat({entries, {{{5}, {6}, {7}}}}));
    REQUIRE(beat);
    CHECK(beat->seen == kind_revisions{{{5}, {6}, {7}}});
    const auto* const read = &beat->entries;
    REQUIRE(read->size() == 2);
    CHECK(read->at(1).address == "10.0.0.2");
    CHECK(read->at(1).callers_port == 70);
    CHECK(read->at(1).name == "vm-2");
    CHECK(read->at(1).life.value == 8);
    CHECK(read->at(1).beat == 4);
    CHECK(read->at(1).state == member_state::leaving);
}

TEST_CASE("a heartbeat of an earlier release, without revisions, is read")
{
    const auto beat = decode_heartbeat(std::string("\x92\x01\x90", 3));
    REQUIRE(beat);
    CHECK(beat->entries.empty());
    CHECK(beat->seen == kind_revisions{});
}

TEST_CASE("fuzz: bytes that are no heartbeat are refused, never trusted")
{
    random_engine random{21};
    const auto good = encode_heartbeat({{entry(1, 7, 3), entry(2, 8, 4)}, {}});
    std::uniform_int_distribution<int> byte{0, 255};
    for (int round = 0; round < 20'000; ++round) {
        auto bytes = good;
        std::uniform_int_distribution<std::size_t> place{0, bytes.size() - 1};
        for (int change = 0; change <= round % 4; ++change) {
            bytes[place(random)] = static_cast<char>(byte(random));
        }
        bytes.resize(place(random) + 1);
        const auto read = decode_heartbeat(bytes);
        if (read) {
            for (const auto& item : read->entries) {
                CHECK(item.state <= member_state::leaving);
            }
        }
    }
    CHECK_FALSE(decode_heartbeat(""));
}

TEST_CASE("a heartbeat that claims to be huge is refused without the memory for it")
{
    // An array of 2^31 elements, a string of 2^31 bytes, and arrays inside arrays.
    CHECK_FALSE(decode_heartbeat(std::string("\xdd\x80\x00\x00\x00", 5)));
    CHECK_FALSE(decode_heartbeat(std::string("\x92\x01\xdb\x80\x00\x00\x00", 7)));
    CHECK_FALSE(decode_heartbeat(std::string(60'000, '\x91')));
}

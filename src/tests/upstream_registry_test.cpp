/** @file upstream_registry_test.cpp Tests of which upstreams the registry makes usable. */
#include "upstream_registry.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace sniperock;

namespace {

const local_time start{seconds{100}};

upstream_entry entry(int number, std::int64_t incarnation = 1)
{
    upstream_entry item;
    item.id = "u-" + std::to_string(number);
    item.service = "jobs";
    item.failure_domain = number % 2 == 0 ? "north" : "south";
    item.endpoint = {asio::ip::make_address("127.0.0.1"),
                     static_cast<std::uint16_t>(1000 + number)};
    item.start_time_ms = incarnation;
    return item;
}

std::size_t usable(const upstream_registry& registry)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        registry.of_service("jobs"), [&](const auto& item) { return registry.usable(*item); }));
}

upstream_registry ten_upstreams()
{
    upstream_registry registry(seconds{2});
    std::vector<upstream_entry> entries;
    entries.reserve(10);
    for (int i = 0; i < 10; ++i) {
        entries.push_back(entry(i));
    }
    registry.replace_all(entries, start);
    return registry;
}

} // namespace

TEST_CASE("an upstream that drains or is removed is not usable")
{
    auto registry = ten_upstreams();
    auto draining = entry(1);
    draining.draining = true;
    registry.put(draining, start);
    CHECK(usable(registry) == 9);
    registry.remove("u-1", start);
    registry.remove("u-2", start);
    registry.remove("u-unknown", start);
    CHECK(usable(registry) == 8);
    CHECK(registry.size() == 8);
}

// A watch that begins before a page of its listing was read delivers what the upstream wrote
// earlier.
TEST_CASE("an upstream that drains stays so if an earlier entry of its process comes late")
{
    auto registry = ten_upstreams();
    auto earlier = entry(1);
    earlier.sequence = 4;
    auto draining = earlier;
    draining.sequence = 5;
    draining.draining = true;
    registry.put(draining, start);
    registry.put(earlier, start);
    CHECK(usable(registry) == 9);
    auto restarted = entry(1, 2);
    restarted.sequence = 1;
    registry.put(restarted, start);
    CHECK(usable(registry) == 10);
}

TEST_CASE("an evacuated failure domain is unusable until the evacuation ends")
{
    auto registry = ten_upstreams();
    registry.set_evacuated({"north"});
    CHECK(usable(registry) == 5);
    registry.set_evacuated({});
    CHECK(usable(registry) == 10);
}

TEST_CASE("another incarnation under the same id does not inherit state")
{
    auto registry = ten_upstreams();
    const auto old = registry.of_service("jobs").front();
    old->failures.record_failure(start);
    old->in_flight = 3;
    registry.put(entry(0, 2), start);
    CHECK(old->removed);
    const auto& all = registry.of_service("jobs");
    const auto found =
        std::ranges::find_if(all, [](const auto& item) { return item->entry.id == "u-0"; });
    CHECK((*found)->in_flight == 0);
    CHECK((*found)->failures.ratio(start) == 0);
    CHECK(usable(registry) == 10);
}

TEST_CASE("cold restart under the same id: what was sent before the registry update counts")
{
    const bool removed_first = GENERATE(false, true);
    auto registry = ten_upstreams();
    const auto probed = registry.of_service("jobs").front();
    probed->cold_sends.add(start);
    probed->cold_sends.add(start + milliseconds{100});
    const auto now = start + milliseconds{300};
    if (removed_first) {
        registry.remove("u-0", now);
    }
    registry.put(entry(0, 2), now);
    const auto& all = registry.of_service("jobs");
    const auto found = std::ranges::find_if(
        all, [](const auto& item) { return item->entry.id == "u-0" && !item->removed; });
    REQUIRE(found != all.end());
    CHECK((*found)->cold_sends.count(now) == 2);
    CHECK((*found)->cold_sends.count(start + cold_window + milliseconds{50}) == 1);
}

TEST_CASE("an upstream that moved to another service is removed from the first one")
{
    auto registry = ten_upstreams();
    auto moved = entry(0);
    moved.service = "files";
    registry.put(moved, start);
    CHECK(usable(registry) == 9);
    CHECK(registry.of_service("files").size() == 1);
}

TEST_CASE("store outage: lapsed entries are kept for the grace period and removed after it")
{
    auto registry = ten_upstreams();
    registry.store_recovered(start);
    registry.replace_all({entry(0)}, start);
    CHECK(usable(registry) == 10);
    registry.put(entry(1), start + seconds{1});
    registry.expire(start + milliseconds{1999});
    CHECK(usable(registry) == 10);
    registry.expire(start + seconds{2});
    CHECK(usable(registry) == 2);
}

TEST_CASE("store outage: an entry that is removed late in the grace period is dropped at its end")
{
    auto registry = ten_upstreams();
    registry.store_recovered(start);
    registry.remove("u-1", start + milliseconds{1900});
    registry.expire(start + milliseconds{1999});
    CHECK(usable(registry) == 10);
    registry.expire(start + seconds{2});
    CHECK(usable(registry) == 9);
}

TEST_CASE("store outage: an entry that announced its leaving is not kept")
{
    auto registry = ten_upstreams();
    auto draining = entry(3);
    draining.draining = true;
    registry.put(draining, start);
    registry.store_recovered(start);
    registry.remove("u-3", start);
    CHECK(registry.size() == 9);
}

TEST_CASE(
    "leases that lapse together are kept for a short grace period even without a detected outage")
{
    auto registry = ten_upstreams();
    for (int i = 0; i < 10; ++i) {
        registry.remove("u-" + std::to_string(i), start);
    }
    CHECK(usable(registry) >= 4);
    registry.expire(start + seconds{1});
    CHECK(usable(registry) == 0);
}

TEST_CASE("single removals are not taken for lapsed leases")
{
    auto registry = ten_upstreams();
    for (int i = 0; i < 4; ++i) {
        registry.remove("u-" + std::to_string(i), start);
    }
    CHECK(registry.size() == 6);
}

TEST_CASE("an upstream replaced by another one is unusable until it registers again")
{
    auto registry = ten_upstreams();
    const auto item = registry.of_service("jobs").front();
    registry.mark_removed(*item);
    CHECK(usable(registry) == 9);
    registry.put(entry(0), start);
    CHECK(usable(registry) == 10);
}

// A VM that forgets a limit with the entry would send to the upstream as before.
TEST_CASE("an upstream whose entry returns keeps its limit unless it has started again")
{
    upstream_registry registry{milliseconds{0}};
    registry.put(entry(1, 7), start);
    registry.of_service("jobs").front()->limit = std::make_shared<upstream_limit>();
    registry.remove("u-1", start);
    const bool restarted = GENERATE(false, true);
    registry.put(entry(1, restarted ? 8 : 7), start + seconds{3});
    const auto& limit = registry.of_service("jobs").front()->limit;
    CHECK((limit != nullptr) == !restarted);
}

namespace {

/** An entry that was read in an era of the store. */
upstream_entry entry_in_era(std::uint64_t era, std::uint64_t sequence, std::int64_t incarnation = 1)
{
    auto item = entry(1, incarnation);
    item.era = {era};
    item.sequence = sequence;
    return item;
}

} // namespace

// A restored store shows upstreams as they were; one that had begun to leave was used again.
TEST_CASE("a restored store that shows an upstream in an older state changes nothing")
{
    upstream_registry registry(seconds{2});
    auto draining = entry_in_era(1, 8);
    draining.draining = true;
    registry.put(draining, start);
    SECTION("before it began to drain")
    {
        registry.put(entry_in_era(2, 5), start);
        registry.expire(start + seconds{60});
        CHECK(usable(registry) == 0);
        auto later = entry_in_era(2, 9);
        later.draining = true;
        registry.put(later, start + seconds{60});
        CHECK(usable(registry) == 0);
    }
    SECTION("an earlier process under its id")
    {
        registry.put(entry_in_era(1, 1, 2), start);
        registry.put(entry_in_era(2, 9, 1), start);
        CHECK(registry.of_service("jobs").front()->entry.start_time_ms == 2);
    }
    SECTION("but a process that started after the restore counts")
    {
        registry.put(entry_in_era(2, 1, 2), start);
        CHECK(usable(registry) == 1);
    }
}

TEST_CASE("an upstream that has left is held back if a restored store shows it again")
{
    upstream_registry registry(seconds{2});
    registry.put(entry_in_era(1, 8), start);
    registry.remove("u-1", start);
    registry.put(entry_in_era(2, 5), start + seconds{3});
    CHECK(usable(registry) == 0);
    SECTION("until it is removed again")
    {
        registry.remove("u-1", start + seconds{4});
        registry.expire(start + seconds{60});
        CHECK(usable(registry) == 0);
    }
    SECTION("or has written since")
    {
        registry.put(entry_in_era(2, 9), start + seconds{4});
        CHECK(usable(registry) == 1);
    }
    SECTION("or is still registered after twice the grace period")
    {
        registry.expire(start + milliseconds{6900});
        CHECK(usable(registry) == 0);
        registry.expire(start + milliseconds{7100});
        CHECK(usable(registry) == 1);
    }
}

TEST_CASE("an upstream that registers again in the same era is used at once")
{
    upstream_registry registry(seconds{2});
    registry.put(entry_in_era(2, 8), start);
    registry.remove("u-1", start);
    registry.put(entry_in_era(2, 8), start + seconds{1});
    CHECK(usable(registry) == 1);
}

TEST_CASE("an evacuation that a restored store has lost holds for the grace period")
{
    auto registry = ten_upstreams();
    registry.set_evacuated({"north"});
    registry.set_evacuated_after_restore({}, start);
    CHECK(registry.evacuated("north"));
    SECTION("and ends then")
    {
        registry.expire(start + milliseconds{1900});
        CHECK(registry.evacuated("north"));
        registry.expire(start + milliseconds{2100});
        CHECK_FALSE(registry.evacuated("north"));
    }
    SECTION("or longer if it is written again")
    {
        registry.set_evacuated({"north"});
        registry.expire(start + seconds{60});
        CHECK(registry.evacuated("north"));
    }
    SECTION("or until an operator takes the domain back")
    {
        registry.end_evacuation("north");
        CHECK_FALSE(registry.evacuated("north"));
    }
}

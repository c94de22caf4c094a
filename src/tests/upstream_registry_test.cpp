/** @file upstream_registry_test.cpp What the registry says may be used. */
#include "upstream_registry.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace sniperock;

namespace {

const local_time start{seconds{100}};

upstream_entry entry(int number, std::int64_t born = 1)
{
    upstream_entry item;
    item.id = "u-" + std::to_string(number);
    item.service = "jobs";
    item.failure_domain = number % 2 == 0 ? "north" : "south";
    item.endpoint = {asio::ip::make_address("127.0.0.1"),
                     static_cast<std::uint16_t>(1000 + number)};
    item.start_time_ms = born;
    return item;
}

std::size_t usable(const upstream_registry& registry)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        registry.of_service("jobs"), [&](const auto& item) { return registry.usable(*item); }));
}

/** Ten upstreams. */
upstream_registry ten()
{
    upstream_registry registry(seconds{2});
    std::vector<upstream_entry> entries;
    entries.reserve(10);
    for (int at = 0; at < 10; ++at) {
        entries.push_back(entry(at));
    }
    registry.replace_all(entries, start);
    return registry;
}

} // namespace

TEST_CASE("an upstream that drains or is removed gets nothing more")
{
    auto registry = ten();
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

TEST_CASE("an evacuated failure domain gets nothing until it is taken back")
{
    auto registry = ten();
    registry.set_evacuated({"north"});
    CHECK(usable(registry) == 5);
    registry.set_evacuated({});
    CHECK(usable(registry) == 10);
}

TEST_CASE("another life under the same id knows nothing of the old one")
{
    auto registry = ten();
    const auto old = registry.of_service("jobs").front();
    old->failures.record_failure(start);
    old->in_flight = 3;
    registry.put(entry(0, 2), start);
    CHECK(old->gone);
    const auto& all = registry.of_service("jobs");
    const auto found =
        std::ranges::find_if(all, [](const auto& item) { return item->entry.id == "u-0"; });
    CHECK((*found)->in_flight == 0);
    CHECK((*found)->failures.ratio(start) == 0);
    CHECK(usable(registry) == 10);
}

TEST_CASE("cold return under the same id: what was sent before the registry told counts")
{
    const bool removed_first = GENERATE(false, true);
    auto registry = ten();
    const auto told_by_probe = registry.of_service("jobs").front();
    told_by_probe->cold_sends.add(start);
    told_by_probe->cold_sends.add(start + milliseconds{100});
    const auto now = start + milliseconds{300};
    if (removed_first) {
        registry.remove("u-0", now);
    }
    registry.put(entry(0, 2), now);
    const auto& all = registry.of_service("jobs");
    const auto found = std::ranges::find_if(
        all, [](const auto& item) { return item->entry.id == "u-0" && !item->gone; });
    REQUIRE(found != all.end());
    CHECK((*found)->cold_sends.count(now) == 2);
    CHECK((*found)->cold_sends.count(start + cold_window + milliseconds{50}) == 1);
}

TEST_CASE("an upstream that moved to another service is gone from the first")
{
    auto registry = ten();
    auto moved = entry(0);
    moved.service = "files";
    registry.put(moved, start);
    CHECK(usable(registry) == 9);
    CHECK(registry.of_service("files").size() == 1);
}

TEST_CASE("store outage: entries that lapsed are kept for the grace and are gone after it")
{
    auto registry = ten();
    registry.store_recovered(start);
    registry.replace_all({entry(0)}, start);
    CHECK(usable(registry) == 10);
    registry.put(entry(1), start + seconds{1});
    registry.expire(start + milliseconds{1999});
    CHECK(usable(registry) == 10);
    registry.expire(start + seconds{2});
    CHECK(usable(registry) == 2);
}

TEST_CASE("store outage: an entry that is removed late in the grace is gone at its end")
{
    auto registry = ten();
    registry.store_recovered(start);
    registry.remove("u-1", start + milliseconds{1900});
    registry.expire(start + milliseconds{1999});
    CHECK(usable(registry) == 10);
    registry.expire(start + seconds{2});
    CHECK(usable(registry) == 9);
}

TEST_CASE("store outage: one that announced its leaving is not kept")
{
    auto registry = ten();
    auto draining = entry(3);
    draining.draining = true;
    registry.put(draining, start);
    registry.store_recovered(start);
    registry.remove("u-3", start);
    CHECK(registry.size() == 9);
}

TEST_CASE("leases that lapse together without a seen outage are kept for a moment")
{
    auto registry = ten();
    for (int at = 0; at < 10; ++at) {
        registry.remove("u-" + std::to_string(at), start);
    }
    CHECK(usable(registry) >= 4);
    registry.expire(start + seconds{1});
    CHECK(usable(registry) == 0);
}

TEST_CASE("single removals are not taken for lapsed leases")
{
    auto registry = ten();
    for (int at = 0; at < 4; ++at) {
        registry.remove("u-" + std::to_string(at), start);
    }
    CHECK(registry.size() == 6);
}

TEST_CASE("an upstream that another one has replaced is gone until it registers again")
{
    auto registry = ten();
    const auto item = registry.of_service("jobs").front();
    registry.disown(*item);
    CHECK(usable(registry) == 9);
    registry.put(entry(0), start);
    CHECK(usable(registry) == 10);
}

/** @file upstream_limit_test.cpp When the limit that an upstream advertises begins and ends. */
#include "upstream_limit.hpp"
#include "wire_dialect.hpp"

#include <catch2/catch.hpp>

using namespace sniperock;

namespace {

constexpr local_time start{seconds{50}};

local_time at(int ms)
{
    return start + milliseconds{ms};
}

} // namespace

TEST_CASE("a limit holds while answers advertise it and follows its changes")
{
    upstream item;
    CHECK_FALSE(advertised_limit(item));
    observe_limit(item, {1.7, limit_source::answer, at(0)}, at(100));
    CHECK(advertised_limit(item) == 1.7);
    observe_limit(item, {0.5, limit_source::probe, at(150)}, at(160));
    CHECK(advertised_limit(item) == 0.5);
    observe_limit(item, {std::nullopt, limit_source::answer, at(200)}, at(300));
    CHECK_FALSE(advertised_limit(item));
}

// An answer that was on its way when the limit began must not lift it.
TEST_CASE("an answer to a request that was sent before the limit was learned does not end it")
{
    upstream item;
    observe_limit(item, {2, limit_source::probe, at(90)}, at(100));
    observe_limit(item, {std::nullopt, limit_source::probe, at(95)}, at(101));
    CHECK(advertised_limit(item) == 2);
}

TEST_CASE("answers to probes without a limit do not end one that only other answers advertise")
{
    upstream item;
    observe_limit(item, {2, limit_source::answer, at(0)}, at(100));
    observe_limit(item, {std::nullopt, limit_source::probe, at(200)}, at(210));
    CHECK(advertised_limit(item) == 2);
    observe_limit(item, {std::nullopt, limit_source::answer, at(300)}, at(400));
    CHECK_FALSE(advertised_limit(item));
}

TEST_CASE("a rate is a decimal number that is not negative")
{
    CHECK(parse_rate("1.7") == 1.7);
    CHECK(parse_rate("0") == 0.0);
    CHECK(parse_rate("40") == 40.0);
    for (const auto* text : {"", "-1", "x", "1,5", "1.5 ", "inf", "nan", "1e400"}) {
        CHECK_FALSE(parse_rate(text));
    }
}

namespace {

/** The registry of a VM with one upstream. */
struct vm_view {
    vm_view()
    {
        upstream_entry entry;
        entry.id = "u-1";
        entry.service = "jobs";
        registry.put(entry, start);
    }
    void tell(vm_view& other, local_time now)
    {
        random_engine random{1};
        for (const auto& report : recent_limits(registry, 40, random, now)) {
            apply_limit_report(other.registry, report, now);
        }
    }
    [[nodiscard]] upstream& item() const { return *registry.find("u-1"); }

    upstream_registry registry{seconds{2}};
};

} // namespace

// A VM that was not told would go on by its load; one without a share would never learn of the end.
TEST_CASE("VMs learn from each other that a limit begins and ends")
{
    vm_view told;
    vm_view other;
    vm_view third;
    observe_limit(told.item(), {2, limit_source::answer, at(0)}, at(100));
    told.tell(other, at(600));
    CHECK(advertised_limit(other.item()) == 2);
    other.tell(third, at(1100));
    CHECK(advertised_limit(third.item()) == 2);
    observe_limit(told.item(), {std::nullopt, limit_source::answer, at(2000)}, at(2100));
    told.tell(other, at(2600));
    CHECK_FALSE(advertised_limit(other.item()));
    SECTION("an older report does not bring it back")
    {
        third.tell(other, at(2700));
        CHECK_FALSE(advertised_limit(other.item()));
    }
    SECTION("nor does what a VM has of a limit for long")
    {
        vm_view restarted;
        third.tell(restarted, at(20'000));
        CHECK_FALSE(advertised_limit(restarted.item()));
    }
}

// Else the next answer, which never names the limit, would lift it at each VM that heard of it.
TEST_CASE(
    "a limit that only probes show does not end with an answer at a VM that was told by another")
{
    vm_view told;
    vm_view other;
    observe_limit(told.item(), {2, limit_source::probe, at(0)}, at(100));
    told.tell(other, at(600));
    observe_limit(other.item(), {std::nullopt, limit_source::answer, at(700)}, at(800));
    CHECK(advertised_limit(other.item()) == 2);
    observe_limit(other.item(), {std::nullopt, limit_source::probe, at(900)}, at(1000));
    CHECK_FALSE(advertised_limit(other.item()));
}

TEST_CASE("a report of an upstream that is not known is ignored")
{
    vm_view vm;
    apply_limit_report(vm.registry, {"u-9", 1.0, false, true, milliseconds{0}}, start);
    CHECK(vm.registry.find("u-9") == nullptr);
}

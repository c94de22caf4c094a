/** @file quarantine_test.cpp Which requests are quarantined, and which are not. */
#include "quarantine.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace sniperock;

namespace {

constexpr request_fingerprint poison{0xdead};
constexpr request_fingerprint other{0xbeef};

/** What one VM knows, with a clock of its own. */
struct quarantine_fixture {
    explicit quarantine_fixture(quarantine_settings settings = {})
        : quarantine(settings, [this](request_fingerprint) { ++news; })
    {
    }

    void end_upstream(request_fingerprint request = poison)
    {
        quarantine.record_end(request, {++processes}, now);
    }

    void quarantine_poison()
    {
        end_upstream();
        end_upstream();
        end_upstream();
    }

    [[nodiscard]] quarantine_verdict verdict(request_fingerprint request = poison) const
    {
        return quarantine.verdict(request, now);
    }

    int news = 0;
    std::uint64_t processes = 0;
    local_time now{std::chrono::hours{1}};
    request_quarantine quarantine;
};

} // namespace

TEST_CASE("a request is refused once three processes have ended while they ran it")
{
    quarantine_fixture vm;
    vm.end_upstream();
    vm.end_upstream();
    vm.quarantine.record_end(poison, {vm.processes}, vm.now);
    CHECK(vm.verdict() == quarantine_verdict::allowed);
    CHECK(vm.quarantine.suspected(poison));
    vm.end_upstream();
    CHECK(vm.verdict() == quarantine_verdict::refused);
    CHECK(vm.verdict(other) == quarantine_verdict::allowed);
    CHECK(vm.quarantine.remaining(poison, vm.now) == quarantine_settings{}.first_time);
    CHECK(vm.quarantine.refused_count(vm.now) == 1);
    CHECK(vm.news == 3);
}

TEST_CASE("a request that is answered now and then is not the cause of the ends that it meets")
{
    quarantine_fixture vm;
    for (int i = 0; i < 20; ++i) {
        vm.end_upstream();
        vm.end_upstream();
        vm.now += milliseconds{200};
        vm.quarantine.record_answer(poison, vm.now);
        vm.now += seconds{4};
        CHECK(vm.verdict() == quarantine_verdict::allowed);
    }
}

// Upstreams that end at the same moment all run a request that is sent often.
TEST_CASE("many upstreams that end at once do not condemn a request that was just answered")
{
    quarantine_fixture vm;
    vm.quarantine.record_answer(poison, vm.now);
    vm.now += seconds{4};
    for (int i = 0; i < 10; ++i) {
        vm.end_upstream();
    }
    CHECK(vm.verdict() == quarantine_verdict::allowed);
    vm.now += seconds{2};
    vm.quarantine_poison();
    CHECK(vm.verdict() == quarantine_verdict::refused);
}

TEST_CASE(
    "after its time a request is tried once; an answer clears it, another end doubles the time")
{
    quarantine_fixture vm;
    const auto time = quarantine_settings{}.first_time;
    vm.quarantine_poison();
    vm.now += time;
    REQUIRE(vm.verdict() == quarantine_verdict::trial);
    vm.quarantine.begin_trial(poison, vm.now);
    CHECK(vm.verdict() == quarantine_verdict::refused);
    SECTION("another end")
    {
        vm.now += seconds{1};
        vm.end_upstream();
        CHECK(vm.quarantine.remaining(poison, vm.now) == 2 * time);
        vm.now += 2 * time;
        CHECK(vm.verdict() == quarantine_verdict::trial);
    }
    SECTION("an answer")
    {
        vm.now += seconds{1};
        vm.quarantine.record_answer(poison, vm.now);
        CHECK(vm.verdict() == quarantine_verdict::allowed);
    }
    SECTION("no result: the next one is tried")
    {
        vm.now += seconds{6};
        CHECK(vm.verdict() == quarantine_verdict::trial);
    }
}

TEST_CASE("what is known of a request is forgotten in time, and bounded in number")
{
    quarantine_fixture vm;
    random_engine random{1};
    vm.quarantine_poison();
    vm.end_upstream(other);
    vm.now += seconds{61};
    CHECK(vm.quarantine.reports(10, random, vm.now).size() == 1);
    vm.now += std::chrono::hours{1};
    CHECK(vm.quarantine.reports(10, random, vm.now).empty());
    CHECK(vm.quarantine.size() == 0);

    vm.quarantine_poison();
    for (std::uint64_t i = 0; i < 2 * request_quarantine::max_entries; ++i) {
        vm.end_upstream({1'000'000 + i});
        vm.now += milliseconds{1};
    }
    CHECK(vm.quarantine.size() == request_quarantine::max_entries);
    CHECK(vm.verdict() == quarantine_verdict::refused);
}

TEST_CASE("reports add up in any order and any number of times")
{
    quarantine_fixture first;
    quarantine_fixture second;
    second.processes = 100;
    first.end_upstream();
    first.end_upstream();
    second.end_upstream();
    const auto report = *first.quarantine.report_of(poison, first.now);
    CHECK(second.quarantine.apply(report, second.now) == quarantine_reaction::changed);
    CHECK(second.quarantine.apply(report, second.now) == quarantine_reaction::none);
    CHECK(second.verdict() == quarantine_verdict::refused);
    CHECK(first.quarantine.apply(*second.quarantine.report_of(poison, second.now), first.now) ==
          quarantine_reaction::changed);
    CHECK(first.verdict() == quarantine_verdict::refused);
    CHECK(first.quarantine.apply(*second.quarantine.report_of(poison, second.now), first.now) ==
          quarantine_reaction::none);
}

TEST_CASE("a VM that was cut off learns of an answer, and does not bring the verdict back")
{
    quarantine_fixture cut_off;
    quarantine_fixture vm;
    cut_off.quarantine_poison();
    const auto old = *cut_off.quarantine.report_of(poison, cut_off.now);
    vm.quarantine.apply(old, vm.now);
    vm.now += seconds{1};
    cut_off.now = vm.now;
    vm.quarantine.record_answer(poison, vm.now);
    CHECK(vm.quarantine.apply(*cut_off.quarantine.report_of(poison, cut_off.now), vm.now) ==
          quarantine_reaction::answer_known);
    CHECK(vm.verdict() == quarantine_verdict::allowed);
    cut_off.quarantine.apply(*vm.quarantine.report_of(poison, vm.now), cut_off.now);
    CHECK(cut_off.verdict() == quarantine_verdict::allowed);
}

TEST_CASE("a report that no VM sends changes nothing")
{
    quarantine_fixture vm;
    quarantine_report report{poison, std::vector<upstream_process>(17), milliseconds{0}, 0, {}, {}};
    CHECK(vm.quarantine.apply(report, vm.now) == quarantine_reaction::none);
    report.ended = {{1}, {2}, {3}};
    report.ended_ago = milliseconds{-1'000'000};
    CHECK(vm.quarantine.apply(report, vm.now) == quarantine_reaction::none);
    report.ended_ago = milliseconds{0};
    report.failed_trials = 1'000'000;
    CHECK(vm.quarantine.apply(report, vm.now) == quarantine_reaction::none);
    CHECK(vm.quarantine.size() == 0);
}

TEST_CASE("without a number of ends nothing is quarantined")
{
    quarantine_fixture vm({0, seconds{30}});
    vm.quarantine_poison();
    CHECK(vm.verdict() == quarantine_verdict::allowed);
    CHECK(vm.news == 0);
}

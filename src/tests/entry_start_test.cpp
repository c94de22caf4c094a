/** @file entry_start_test.cpp What a VM that has just started uses of a restored store. */
#include "entry_start.hpp"

#include <catch2/catch.hpp>

using namespace sniperock;

namespace {

constexpr local_time start{seconds{50}};
constexpr milliseconds rewrite_time{2000};
constexpr config_version older{11};
constexpr config_version newer{13};

} // namespace

TEST_CASE("a VM that starts waits for the configuration that others have in force")
{
    start_guard guard(rewrite_time);
    CHECK_FALSE(guard.is_outdated(older, start));
    guard.record_report({newer}, start);
    CHECK(guard.is_outdated(older, start));
    // VMs that have started themselves know no better.
    guard.record_report({config_version{}}, start);
    CHECK(guard.is_outdated(older, start + milliseconds{10}));
    CHECK_FALSE(guard.is_outdated(newer, start + milliseconds{20}));
}

TEST_CASE("a configuration that nobody reports or writes any more is not waited for")
{
    start_guard guard(rewrite_time);
    guard.record_report({newer}, start);
    CHECK(guard.is_outdated(older, start));
    SECTION("the VM that reported it is gone")
    {
        CHECK_FALSE(guard.is_outdated(older, start + seconds{4}));
    }
    SECTION("it is reported on and on")
    {
        for (auto now = start; now < start + seconds{15}; now += milliseconds{500}) {
            guard.record_report({newer}, now);
        }
        CHECK_FALSE(guard.is_outdated(older, start + seconds{15}));
    }
}

TEST_CASE("a VM that starts after a restore waits until upstreams have registered again")
{
    start_guard running(rewrite_time);
    running.observe_era(store_era{1}, start);
    CHECK_FALSE(running.make_report(older, start).restored_ago);
    running.observe_era(store_era{2}, start + seconds{10});
    const auto report = running.make_report(older, start + seconds{11});
    CHECK(report.restored_ago == milliseconds{1000});

    start_guard guard(rewrite_time);
    guard.observe_era(store_era{2}, start + seconds{11});
    CHECK_FALSE(guard.is_outdated(older, start + seconds{11}));
    guard.record_report(report, start + seconds{11});
    CHECK(guard.is_outdated(older, start + seconds{11}));
    // Others that start learn of the restore from it.
    CHECK(guard.make_report(older, start + milliseconds{11'500}).restored_ago ==
          milliseconds{1500});
    CHECK_FALSE(guard.is_outdated(older, start + seconds{12}));
    CHECK_FALSE(guard.make_report(older, start + seconds{12}).restored_ago);
}

// Each VM hears of the others before it has read the store; that is no trouble to log.
TEST_CASE("a VM that has read no configuration yet is not outdated")
{
    start_guard guard(rewrite_time);
    guard.record_report({newer}, start);
    CHECK_FALSE(guard.is_outdated(config_version{}, start));
    CHECK(guard.is_outdated(older, start));
}

TEST_CASE("the first era that a VM sees is no restore")
{
    start_guard guard(rewrite_time);
    guard.observe_era(store_era{3}, start);
    guard.observe_era(store_era{2}, start);
    guard.observe_era(store_era{3}, start);
    CHECK_FALSE(guard.is_outdated(older, start));
}

TEST_CASE("a restore that the others have not noticed yet is known from their era")
{
    const bool report_first = GENERATE(true, false);
    start_guard guard(rewrite_time);
    if (report_first) {
        guard.record_report({older, store_era{1}}, start);
        guard.observe_era(store_era{2}, start);
    }
    else {
        guard.observe_era(store_era{2}, start);
        guard.record_report({older, store_era{1}}, start);
    }
    CHECK(guard.is_outdated(older, start));
    // Another one that is cut off from the store does not prolong it.
    guard.record_report({older, store_era{1}}, start + seconds{1});
    CHECK_FALSE(guard.is_outdated(older, start + rewrite_time));
}

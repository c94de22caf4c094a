/** @file store_news_test.cpp Tests of the revisions that VMs report to each other. */
#include "store_news.hpp"

#include <catch2/catch.hpp>

using namespace sniperock;

TEST_CASE("the newest revision of each kind is kept, with the time at which it was first heard")
{
    const local_time start{seconds{100}};
    store_revision_tracker tracker;
    tracker.record_local(watched_kind::upstreams, {7});
    tracker.record_local(watched_kind::upstreams, {5});
    CHECK(tracker.local_revisions() == kind_revisions{{{0}, {7}, {0}}});
    tracker.record_remote({{{3}, {4}, {0}}}, start);
    tracker.record_remote({{{3}, {9}, {0}}}, start + seconds{1});
    tracker.record_remote({{{2}, {8}, {0}}}, start + seconds{2});
    CHECK(tracker.remote_revision(watched_kind::configurations).value == 3);
    CHECK(tracker.first_reported_after(watched_kind::configurations, {0}) == start);
    CHECK(tracker.remote_revision(watched_kind::upstreams).value == 9);
    CHECK(tracker.first_reported_after(watched_kind::upstreams, {4}) == start + seconds{1});
    CHECK_FALSE(tracker.first_reported_after(watched_kind::upstreams, {9}));
    CHECK_FALSE(tracker.first_reported_after(watched_kind::evacuations, {0}));
}

// Guards against reports that come faster than the grace and so would put off the fresh read for
// ever.
TEST_CASE("changes in quick succession: the first one that is missing counts")
{
    const local_time start{seconds{100}};
    store_revision_tracker tracker;
    for (std::uint64_t i = 1; i <= 100; ++i) {
        tracker.record_remote({{{10 + i}, {0}, {0}}}, start + milliseconds{10} * i);
    }
    CHECK(tracker.first_reported_after(watched_kind::configurations, {10}) ==
          start + milliseconds{10});
    CHECK(tracker.first_reported_after(watched_kind::configurations, {13}) ==
          start + milliseconds{40});
    CHECK(tracker.remote_revision(watched_kind::configurations).value == 110);
    CHECK(tracker.first_reported_after(watched_kind::configurations, {109}));
    CHECK_FALSE(tracker.first_reported_after(watched_kind::configurations, {110}));
}

// A revision that was assigned again was taken for the one of before.
TEST_CASE("after a restore smaller revisions of the new era are newer than all of the earlier one")
{
    const local_time start{seconds{100}};
    const auto configurations = watched_kind::configurations;
    store_revision_tracker tracker;
    tracker.record_local(configurations, {33, {1}});
    tracker.record_remote({{{31, {2}}, {}, {}}}, start);
    CHECK(tracker.first_reported_after(configurations, {33, {1}}) == start);
    CHECK(tracker.newest_era() == store_era{2});
    // A VM that was frozen during the restore reports what it had.
    tracker.record_remote({{{40, {1}}, {}, {}}}, start + seconds{1});
    CHECK(tracker.remote_revision(configurations) == store_revision{31, {2}});
    tracker.record_local(configurations, {31, {2}});
    CHECK(tracker.local_revisions().front() == store_revision{31, {2}});
    // A VM of an earlier release reports no era.
    tracker.record_remote({{{32, {}}, {}, {}}}, start + seconds{2});
    CHECK(tracker.first_reported_after(configurations, {31, {2}}) == start + seconds{2});
}

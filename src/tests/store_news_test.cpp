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
    CHECK(tracker.remote_updated_at(watched_kind::configurations) == start);
    CHECK(tracker.remote_revision(watched_kind::upstreams).value == 9);
    CHECK(tracker.remote_updated_at(watched_kind::upstreams) == start + seconds{1});
}

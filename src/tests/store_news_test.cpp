/** @file store_revision_tracker_test.cpp What VMs tell each other of the store's changes. */
#include "store_revision_tracker.hpp"

#include <catch2/catch.hpp>

using namespace sniperock;

TEST_CASE("the newest change of each kind counts, and when it was heard first")
{
    const local_time start{seconds{100}};
    store_revision_tracker news;
    news.saw(followed_kind::upstreams, {7});
    news.saw(followed_kind::upstreams, {5});
    CHECK(news.seen() == kind_revisions{{{0}, {7}, {0}}});
    news.heard({{{3}, {4}, {0}}}, start);
    news.heard({{{3}, {9}, {0}}}, start + seconds{1});
    news.heard({{{2}, {8}, {0}}}, start + seconds{2});
    CHECK(news.heard(followed_kind::configurations).value == 3);
    CHECK(news.heard_at(followed_kind::configurations) == start);
    CHECK(news.heard(followed_kind::upstreams).value == 9);
    CHECK(news.heard_at(followed_kind::upstreams) == start + seconds{1});
}

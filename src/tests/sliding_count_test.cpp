/** @file sliding_count_test.cpp Counting of events in a sliding window. */
#include "sliding_count.hpp"

#include <catch2/catch.hpp>

using namespace sniperock;

TEST_CASE("events leave the window one by one")
{
    sliding_count count{seconds{1}};
    const local_time start{seconds{100}};
    count.add(start);
    count.add(start + milliseconds{600});
    CHECK(count.count(start + milliseconds{999}) == 2);
    CHECK(count.count(start + milliseconds{1000}) == 1);
    CHECK(count.count(start + milliseconds{1600}) == 0);
    CHECK(count.empty(start + milliseconds{1600}));
}

TEST_CASE("memory use stays bounded under a long load without calls of count()")
{
    sliding_count count{seconds{1}};
    const local_time start{seconds{100}};
    for (int i = 0; i < 100'000; ++i) {
        count.add(start + milliseconds{i});
    }
    CHECK(count.stored() <= 1000);
    CHECK(count.count(start + milliseconds{99'999}) == 1000);
}

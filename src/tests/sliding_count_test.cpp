/** @file sliding_count_test.cpp Events in a sliding window. */
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
    CHECK(count.next_leaves(start) == start + seconds{1});
    CHECK(count.count(start + milliseconds{1000}) == 1);
    CHECK(count.count(start + milliseconds{1600}) == 0);
    CHECK(count.next_leaves(start) == start);
}

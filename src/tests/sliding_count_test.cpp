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
    CHECK(count.count(start + milliseconds{1000}) == 1);
    CHECK(count.count(start + milliseconds{1600}) == 0);
    CHECK(count.empty(start + milliseconds{1600}));
}

TEST_CASE("a long load that nobody asks about does not fill the memory")
{
    sliding_count count{seconds{1}};
    const local_time start{seconds{100}};
    for (int at = 0; at < 100'000; ++at) {
        count.add(start + milliseconds{at});
    }
    CHECK(count.held() <= 1000);
    CHECK(count.count(start + milliseconds{99'999}) == 1000);
}

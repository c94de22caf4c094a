/** @file refusal_test.cpp Retry delays of refused callers. */
#include "refusal.hpp"

#include <catch2/catch.hpp>

#include <set>

using namespace sniperock;

TEST_CASE("burst: callers that are refused at the same time get different retry delays")
{
    random_engine random{3};
    std::set<std::int64_t> delays;
    for (int i = 0; i < 100; ++i) {
        delays.insert(retry_delay(milliseconds{300}, milliseconds{1400}, random).count());
    }
    CHECK(delays.size() > 40);
    CHECK(*delays.begin() >= 60);
    CHECK(*delays.rbegin() <= 240);
}

TEST_CASE("a caller with little time left gets a retry delay short enough that it honours it")
{
    random_engine random{3};
    CHECK(retry_delay(milliseconds{300}, milliseconds{90}, random) <= milliseconds{30});
    CHECK(retry_delay(milliseconds{300}, milliseconds{0}, random) == milliseconds{1});
}

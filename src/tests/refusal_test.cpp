/** @file refusal_test.cpp When refused callers come back. */
#include "refusal.hpp"

#include <catch2/catch.hpp>

#include <set>

using namespace sniperock;

TEST_CASE("burst: callers that are refused together do not come back together")
{
    random_engine random{3};
    std::set<std::int64_t> pauses;
    for (int at = 0; at < 100; ++at) {
        pauses.insert(retry_delay(milliseconds{300}, milliseconds{1400}, random).count());
    }
    CHECK(pauses.size() > 40);
    CHECK(*pauses.begin() >= 60);
    CHECK(*pauses.rbegin() <= 240);
}

TEST_CASE("a caller with little time left is asked for a pause that it honours")
{
    random_engine random{3};
    CHECK(retry_delay(milliseconds{300}, milliseconds{90}, random) <= milliseconds{30});
    CHECK(retry_delay(milliseconds{300}, milliseconds{0}, random) == milliseconds{1});
}

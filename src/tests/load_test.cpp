/** @file load_test.cpp Quantiles of the load tool. */
#include "load_func.hpp"

#include <catch2/catch.hpp>

using namespace sniperock;

TEST_CASE("a quantile is a measured value")
{
    std::vector<microseconds> latencies;
    for (int value = 100; value >= 1; --value) {
        latencies.emplace_back(value);
    }
    CHECK(quantile(latencies, 0.5) == microseconds{50});
    CHECK(quantile(latencies, 1.0) == microseconds{100});
    CHECK(quantile({}, 0.5) == microseconds{0});
}

/** @file load_report_test.cpp Sums of what callers got. */
#include "load_type.hpp"

#include <catch2/catch.hpp>

using namespace sniperock;

TEST_CASE("quantiles of the answers' times")
{
    load_result result;
    CHECK(quantile_ms(result, 0.5) == 0);
    for (int at = 100; at >= 0; --at) {
        result.times_ms.push_back(at);
    }
    CHECK(quantile_ms(result, 0.5) == 50);
    CHECK(quantile_ms(result, 0.99) == 99);
    CHECK(format_load(result).find("99 in 100 below 99 ms") != std::string::npos);
}

/** @file load_report_test.cpp Tests of the summary of a load test. */
#include "load_type.hpp"

#include <catch2/catch.hpp>

using namespace sniperock;

TEST_CASE("quantiles of the response times")
{
    load_result result;
    CHECK(quantile_ms(result, 0.5) == 0);
    for (int i = 100; i >= 0; --i) {
        result.times_ms.push_back(i);
    }
    CHECK(quantile_ms(result, 0.5) == 50);
    CHECK(quantile_ms(result, 0.99) == 99);
    CHECK(format_load(result).find("99th percentile 99 ms") != std::string::npos);
}

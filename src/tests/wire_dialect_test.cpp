/** @file wire_dialect_test.cpp Tests of the built-in wire dialect and the parsing helpers. */
#include "wire_dialect.hpp"

#include <catch2/catch.hpp>

using namespace sniperock;

TEST_CASE("query values are looked up by their complete name and percent-decoded")
{
    CHECK(query_value("/locate?host=a&near=north", "near") == "north");
    CHECK(query_value("/locate?xnear=1&near=a%20b+c%2", "near") == "a b c%2");
    CHECK(query_value("/locate", "near").empty());
    CHECK(query_value("/locate?near", "near").empty());
}

TEST_CASE("parse_unsigned accepts only unsigned integers within range")
{
    CHECK(parse_unsigned("15").value_or(0) == 15);
    CHECK_FALSE(parse_unsigned("-1"));
    CHECK_FALSE(parse_unsigned("1.5"));
    CHECK_FALSE(parse_unsigned(""));
    CHECK_FALSE(parse_unsigned("99999999999999999999999"));
}

TEST_CASE("the built-in load header is read in full or rejected")
{
    const auto report = builtin_dialect().parse_load("running=2;waiting=1;slots=3;slowness=400");
    REQUIRE(report);
    CHECK(report->running == 2);
    CHECK(report->waiting == 1);
    CHECK(report->slots == 3);
    CHECK(report->slowness == 4);
    CHECK_FALSE(builtin_dialect().parse_load("running=x"));
    CHECK_FALSE(builtin_dialect().parse_load("rubbish"));
}

TEST_CASE("the built-in directory response contains VM addresses and the time to cache them")
{
    CHECK(builtin_dialect().format_directory_response({"10.0.0.1:7000"}, milliseconds{2000}) ==
          R"({"keep_ms":2000,"vms":["10.0.0.1:7000"]})");
    CHECK(
        builtin_dialect().parse_directory_query("/locate?host=h&region=r&near=n").failure_domain ==
        "n");
}

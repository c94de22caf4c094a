/** @file wire_dialect_test.cpp The product's own dialect. */
#include "wire_dialect.hpp"

#include <catch2/catch.hpp>

using namespace sniperock;

TEST_CASE("query values are found by their whole name and decoded")
{
    CHECK(query_value("/locate?host=a&near=north", "near") == "north");
    CHECK(query_value("/locate?xnear=1&near=a%20b+c%2", "near") == "a b c%2");
    CHECK(query_value("/locate", "near").empty());
    CHECK(query_value("/locate?near", "near").empty());
}

TEST_CASE("whole numbers only")
{
    CHECK(parse_unsigned("15").value_or(0) == 15);
    CHECK_FALSE(parse_unsigned("-1"));
    CHECK_FALSE(parse_unsigned("1.5"));
    CHECK_FALSE(parse_unsigned(""));
    CHECK_FALSE(parse_unsigned("99999999999999999999999"));
}

TEST_CASE("the own load header is read whole or not at all")
{
    const auto report = own_dialect().parse_load("running=2;waiting=1;slots=3;slowness=400");
    REQUIRE(report);
    CHECK(report->running == 2);
    CHECK(report->waiting == 1);
    CHECK(report->slots == 3);
    CHECK(report->slowness == 4);
    CHECK_FALSE(own_dialect().parse_load("running=x"));
    CHECK_FALSE(own_dialect().parse_load("rubbish"));
}

TEST_CASE("the own directory answer names VMs and how long to keep them")
{
    CHECK(own_dialect().format_directory_response({"10.0.0.1:7000"}, milliseconds{2000}) ==
          R"({"keep_ms":2000,"vms":["10.0.0.1:7000"]})");
    CHECK(own_dialect().parse_directory_query("/locate?host=h&region=r&near=n").failure_domain ==
          "n");
}

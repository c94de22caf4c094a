/** @file upstream_limit_test.cpp When the limit that an upstream advertises begins and ends. */
#include "upstream_limit.hpp"
#include "wire_dialect.hpp"

#include <catch2/catch.hpp>

using namespace sniperock;

namespace {

constexpr local_time start{seconds{50}};

local_time at(int ms)
{
    return start + milliseconds{ms};
}

} // namespace

TEST_CASE("a limit holds while answers advertise it and follows its changes")
{
    upstream item;
    CHECK_FALSE(advertised_limit(item));
    observe_limit(item, {1.7, limit_source::answer, at(0)}, at(100));
    CHECK(advertised_limit(item) == 1.7);
    observe_limit(item, {0.5, limit_source::probe, at(150)}, at(160));
    CHECK(advertised_limit(item) == 0.5);
    observe_limit(item, {std::nullopt, limit_source::answer, at(200)}, at(300));
    CHECK_FALSE(advertised_limit(item));
}

// An answer that was on its way when the limit began must not lift it.
TEST_CASE("an answer to a request that was sent before the limit was learned does not end it")
{
    upstream item;
    observe_limit(item, {2, limit_source::probe, at(90)}, at(100));
    observe_limit(item, {std::nullopt, limit_source::probe, at(95)}, at(101));
    CHECK(advertised_limit(item) == 2);
}

TEST_CASE("answers to probes without a limit do not end one that only other answers advertise")
{
    upstream item;
    observe_limit(item, {2, limit_source::answer, at(0)}, at(100));
    observe_limit(item, {std::nullopt, limit_source::probe, at(200)}, at(210));
    CHECK(advertised_limit(item) == 2);
    observe_limit(item, {std::nullopt, limit_source::answer, at(300)}, at(400));
    CHECK_FALSE(advertised_limit(item));
}

TEST_CASE("a rate is a decimal number that is not negative")
{
    CHECK(parse_rate("1.7") == 1.7);
    CHECK(parse_rate("0") == 0.0);
    CHECK(parse_rate("40") == 40.0);
    for (const auto* text : {"", "-1", "x", "1,5", "1.5 ", "inf", "nan", "1e400"}) {
        CHECK_FALSE(parse_rate(text));
    }
}

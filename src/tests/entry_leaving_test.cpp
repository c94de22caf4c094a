/** @file entry_leaving_test.cpp The steps of a planned stop. */
#include "entry_leaving.hpp"

#include <catch2/catch.hpp>

using namespace sniperock;

namespace {

leaving_step step(int since_ms, std::size_t busy)
{
    return step_of_leaving(milliseconds{since_ms}, milliseconds{6000}, busy);
}

} // namespace

TEST_CASE("callers with old directory answers are still served, whether others are or not")
{
    CHECK(step(0, 0) == leaving_step::accepting);
    CHECK(step(3800, 0) == leaving_step::accepting);
    CHECK(step(3800, 5) == leaving_step::accepting);
}

TEST_CASE("a planned stop waits for the answers to what was asked")
{
    CHECK(step(4000, 1) == leaving_step::finishing);
    CHECK(step(5000, 1) == leaving_step::finishing);
    CHECK(step(4000, 0) == leaving_step::over);
}

TEST_CASE("the process ends by itself before it may be killed")
{
    CHECK(step(5200, 3) == leaving_step::over);
    CHECK(step_of_leaving(milliseconds{0}, milliseconds{0}, 3) == leaving_step::over);
}

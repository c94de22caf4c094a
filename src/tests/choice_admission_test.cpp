/** @file choice_admission_test.cpp Accepting, searching again and refusing under various loads. */
#include "choice_admission.hpp"

#include <catch2/catch.hpp>

using namespace sniperock;

namespace {

admission decide(int elapsed_ms, std::optional<double> best_ms)
{
    return decide_admission({milliseconds{elapsed_ms}, milliseconds{300}, best_ms, 0.1, 0.4});
}

} // namespace

TEST_CASE("low load: an upstream that answers in time is accepted at once")
{
    CHECK(decide(0, 120.0) == admission::accept);
    CHECK(decide(0, 300.0) == admission::accept);
}

TEST_CASE("noisy neighbours: a free slot on a slowed upstream is no reason to end the search")
{
    CHECK(decide(0, 480.0) == admission::search_again);
    CHECK(decide(100, 480.0) == admission::search_again);
    CHECK(decide(100, 190.0) == admission::accept);
}

TEST_CASE("overload: after the search time, a late request is refused instead of occupying a slot")
{
    CHECK(decide(120, 480.0) == admission::refuse);
    CHECK(decide(120, 170.0) == admission::accept);
}

TEST_CASE("burst: without a free slot, a request is refused early enough for a retry")
{
    CHECK(decide(29, std::nullopt) == admission::search_again);
    CHECK(decide(30, std::nullopt) == admission::refuse);
}

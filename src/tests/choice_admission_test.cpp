/** @file choice_admission_test.cpp Loads on which taking, searching and refusing are decided. */
#include "choice_admission.hpp"

#include <catch2/catch.hpp>

using namespace sniperock;

namespace {

admission decide(int waited_ms, std::optional<double> best_ms)
{
    return decide_admission({milliseconds{waited_ms}, milliseconds{300}, best_ms, 0.1, 0.4});
}

} // namespace

TEST_CASE("calm load: an upstream that answers in time is taken at once")
{
    CHECK(decide(0, 120.0) == admission::accept);
    CHECK(decide(0, 300.0) == admission::accept);
}

TEST_CASE("noisy neighbours: a free slot on a slowed upstream is no reason to stop looking")
{
    CHECK(decide(0, 480.0) == admission::search_again);
    CHECK(decide(100, 480.0) == admission::search_again);
    CHECK(decide(100, 190.0) == admission::accept);
}

TEST_CASE("overload: after a search, a request that would be late does not take a slot from others")
{
    CHECK(decide(120, 480.0) == admission::refuse);
    CHECK(decide(120, 170.0) == admission::accept);
}

TEST_CASE("burst: without a free slot the request is refused while it can still come back")
{
    CHECK(decide(29, std::nullopt) == admission::search_again);
    CHECK(decide(30, std::nullopt) == admission::refuse);
}

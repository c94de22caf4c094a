/** @file entry_leaving_test.cpp Phases of a graceful shutdown. */
#include "entry_leaving.hpp"

#include <catch2/catch.hpp>

using namespace sniperock;

namespace {

drain_phase phase(int elapsed_ms, std::size_t busy)
{
    return drain_phase_at(milliseconds{elapsed_ms}, milliseconds{6000}, busy);
}

} // namespace

TEST_CASE("a draining VM accepts callers with cached directory answers, busy or idle")
{
    CHECK(phase(0, 0) == drain_phase::accepting);
    CHECK(phase(3800, 0) == drain_phase::accepting);
    CHECK(phase(3800, 5) == drain_phase::accepting);
}

TEST_CASE("a graceful shutdown completes what is in flight")
{
    CHECK(phase(4000, 1) == drain_phase::finishing);
    CHECK(phase(5000, 1) == drain_phase::finishing);
    CHECK(phase(4000, 0) == drain_phase::done);
}

TEST_CASE("the process exits before the grace period is over")
{
    CHECK(phase(5200, 3) == drain_phase::done);
    CHECK(drain_phase_at(milliseconds{0}, milliseconds{0}, 3) == drain_phase::done);
}

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
    CHECK(phase(5850, 3) == drain_phase::ending);
    CHECK(phase(5950, 3) == drain_phase::done);
    CHECK(drain_phase_at(milliseconds{0}, milliseconds{0}, 3) == drain_phase::done);
}

// Guards against a request that is accepted and cut off as the process exits.
TEST_CASE("a late request is accepted only if its deadline passes before the process exits")
{
    const local_time begin{seconds{100}};
    const auto at = [&](int ms) { return begin + milliseconds{ms}; };
    for (const milliseconds grace : {milliseconds{6000}, milliseconds{10'000}}) {
        const auto leaving = std::optional{leaving_times_of(begin, grace)};
        CHECK(may_accept(std::nullopt, at(5900), at(90'000)));
        CHECK(may_accept(leaving, at(2900), at(90'000)));
        CHECK(may_accept(leaving, at(3100), at(5600)));
        CHECK_FALSE(may_accept(leaving, at(3100), begin + grace));
        for (int now = 3000; now < 6000; now += 100) {
            for (int limit = 0; limit < 6000; limit += 100) {
                // What is accepted late ends while the process still runs.
                const auto deadline = at(now + limit);
                const bool ends_in_time =
                    drain_phase_at(deadline - begin, grace, 1) <= drain_phase::finishing;
                CHECK((!may_accept(leaving, at(now), deadline) || ends_in_time ||
                       deadline == leaving->ends_at));
            }
        }
    }
}

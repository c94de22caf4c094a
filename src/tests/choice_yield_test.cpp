/** @file choice_yield_test.cpp Bursts in which urgent and less urgent requests want the same
 * slots.
 */
#include "choice_yield.hpp"

#include <catch2/catch.hpp>

#include <array>

using namespace sniperock;

namespace {

constexpr int urgent = 1;
constexpr int less_urgent = 2;

/** How many of many requests yield. */
int yields(const load_shedder& yielding, int priority, local_time now, const char* service = "jobs")
{
    random_engine random{7};
    int count = 0;
    for (int at = 0; at < 1000; ++at) {
        count += should_shed(yielding.urgent_refusal_ratio(service, priority, now), random) ? 1 : 0;
    }
    return count;
}

/** Notes @p count urgent requests that were all refused, or all served. */
void note_urgent(load_shedder& yielding, bool refused, int count, local_time now)
{
    for (int at = 0; at < count; ++at) {
        yielding.record("jobs", urgent, refused, now);
    }
}

/** A burst: both kinds ask for a free slot in turn; one request in @p slots_in finds one. */
struct burst_outcome {
    std::array<int, 3> asked{};
    std::array<int, 3> served{};
};

burst_outcome play_burst(load_shedder& yielding, int slots_in, int urgent_in_ten = 5)
{
    burst_outcome seen;
    random_engine random{3};
    std::uniform_int_distribution<> one_of_ten{1, 10};
    auto now = local_time{seconds{100}};
    double free = 0;
    for (int at = 0; at < 4000; ++at) {
        now += milliseconds{5};
        free = std::min(free + 1.0 / slots_in, 3.0);
        const int priority = one_of_ten(random) <= urgent_in_ten ? urgent : less_urgent;
        ++seen.asked.at(priority);
        if (should_shed(yielding.urgent_refusal_ratio("jobs", priority, now), random)) {
            continue;
        }
        const bool refused = free < 1;
        free -= refused ? 0 : 1;
        seen.served.at(priority) += refused ? 0 : 1;
        yielding.record("jobs", priority, refused, now);
    }
    return seen;
}

} // namespace

TEST_CASE("calm load: nobody yields, nor after a single refusal")
{
    load_shedder yielding;
    const auto now = local_time{seconds{100}};
    note_urgent(yielding, false, 20, now);
    CHECK(yields(yielding, less_urgent, now) == 0);
    note_urgent(yielding, true, 1, now);
    CHECK(yields(yielding, less_urgent, now) == 0);
}

TEST_CASE(
    "burst: less urgent requests yield while more urgent ones are refused, urgent ones do not")
{
    load_shedder yielding;
    const auto now = local_time{seconds{100}};
    note_urgent(yielding, true, 20, now);
    CHECK(yields(yielding, less_urgent, now) > 500);
    CHECK(yields(yielding, urgent, now) == 0);
    CHECK(yields(yielding, 0, now) == 0);
    CHECK(yields(yielding, less_urgent, now, "files") == 0);
}

TEST_CASE("refused less urgent requests make nobody yield")
{
    load_shedder yielding;
    const auto now = local_time{seconds{100}};
    for (int at = 0; at < 20; ++at) {
        yielding.record("jobs", less_urgent, true, now);
    }
    CHECK(yields(yielding, urgent, now) == 0);
    CHECK(yields(yielding, less_urgent, now) == 0);
}

TEST_CASE(
    "after the burst less urgent requests are looked after again, with and without urgent ones")
{
    load_shedder yielding;
    const auto now = local_time{seconds{100}};
    note_urgent(yielding, true, 20, now);
    CHECK(yields(yielding, less_urgent, now + seconds{3}) == 0);
    note_urgent(yielding, false, 30, now);
    CHECK(yields(yielding, less_urgent, now) == 0);
}

TEST_CASE("burst of twice what the slots bear: the more urgent kind is served clearly more often")
{
    load_shedder yielding;
    const auto seen = play_burst(yielding, 2);
    const double urgent_part = seen.served[urgent] / static_cast<double>(seen.asked[urgent]);
    const double other_part =
        seen.served[less_urgent] / static_cast<double>(seen.asked[less_urgent]);
    CHECK(urgent_part > other_part + 0.2);
    // The slots are used all the same.
    CHECK(seen.served[urgent] + seen.served[less_urgent] > 1900);
}

TEST_CASE("urgent requests alone are more than the slots bear: no kind starves")
{
    for (const int slots_in : {2, 4, 8}) {
        load_shedder yielding;
        const auto seen = play_burst(yielding, slots_in, 9);
        const double other_part =
            seen.served[less_urgent] / static_cast<double>(seen.asked[less_urgent]);
        const double all_part = (seen.served[urgent] + seen.served[less_urgent]) / 4000.0;
        CHECK(other_part > all_part / 4);
    }
}

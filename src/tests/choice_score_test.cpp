/** @file choice_score_test.cpp Loads that make one upstream better than another. */
#include "choice_score.hpp"

#include <catch2/catch.hpp>

using namespace sniperock;

namespace {

constexpr request_estimate small_request{100, 500, true};
constexpr request_estimate download{100, 90'000, true};
constexpr request_estimate booking{100, 500, false};
const local_time now{seconds{100}};

upstream loaded(unsigned running, unsigned waiting, double slowness)
{
    upstream item;
    item.entry.slots = 3;
    item.report = load_report{running, waiting, 3, slowness};
    item.reported_at = now;
    return item;
}

double score(upstream& item, const request_estimate& request = small_request, bool near = true)
{
    return rank_ms({&item, near, true}, request, now);
}

} // namespace

TEST_CASE("noisy neighbours: a busy upstream at its usual speed beats an idle slowed one")
{
    auto busy = loaded(1, 0, 1);
    auto slowed = loaded(0, 0, 4);
    CHECK(score(busy) < score(slowed));
}

TEST_CASE("uneven load: the last slot is worse than an earlier one, a queue worse than both")
{
    auto idle = loaded(0, 0, 1);
    auto last = loaded(2, 0, 1);
    auto full = loaded(3, 0, 1);
    auto queued = loaded(3, 4, 1);
    CHECK(score(idle) < score(last));
    CHECK(score(last) < score(full));
    CHECK(score(full) < score(queued));
    CHECK(has_free_slot(last));
    CHECK_FALSE(has_free_slot(full));
}

TEST_CASE("requests sent since the report count as running")
{
    auto item = loaded(1, 0, 1);
    item.sent_since_report = 2;
    CHECK(busy_slots(item) == 3);
    CHECK_FALSE(has_free_slot(item));
    item.in_flight = 5;
    CHECK(busy_slots(item) == 5);
}

TEST_CASE("downloads stay in the failure domain unless that costs more than the bytes")
{
    auto near = loaded(2, 0, 1);
    auto far = loaded(0, 0, 1);
    CHECK(score(near, download, true) < score(far, download, false));
    CHECK(score(near, small_request, true) > score(far, small_request, false));
    auto slowed = loaded(0, 0, 4);
    CHECK(score(slowed, download, true) > score(far, download, false));
}

TEST_CASE("grey upstream: it is shunned, most by requests that cannot be repeated")
{
    auto good = loaded(1, 0, 1);
    auto grey = loaded(0, 0, 1);
    grey.failures.record_failure(now);
    CHECK(score(good) < score(grey));
    CHECK(score(grey, booking) > 2 * score(grey));
}

TEST_CASE("an upstream that calls itself unwell comes last, but can be used if all do")
{
    auto unhealthy = loaded(0, 0, 1);
    unhealthy.unhealthy = true;
    auto slowed = loaded(2, 0, 4);
    CHECK(score(slowed) < score(unhealthy));
}

TEST_CASE("a cold upstream is taken to be slower")
{
    auto cold = loaded(0, 0, 1);
    cold.cold_until = now + seconds{1};
    auto warm = loaded(1, 0, 1);
    CHECK(score(warm) < score(cold));
    CHECK_FALSE(is_ideal({&cold, true, true}, small_request, now));
    CHECK(is_ideal({&warm, true, true}, small_request, now));
}

TEST_CASE("without a fresh report nothing is ideal")
{
    auto item = loaded(0, 0, 1);
    CHECK_FALSE(is_ideal({&item, true, false}, small_request, now));
}

TEST_CASE("failing everywhere: distrust ranks upstreams and does not make their answers late")
{
    auto grey = loaded(0, 0, 1);
    for (int at = 0; at < 10; ++at) {
        grey.failures.record_failure(now);
    }
    grey.unhealthy = true;
    CHECK(expected_ms({&grey, false, true}, download, now) < 110);
}

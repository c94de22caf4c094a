/** @file choice_score_test.cpp Ranking of upstreams under various loads. */
#include "choice_score.hpp"

#include <catch2/catch.hpp>

using namespace sniperock;

namespace {

constexpr request_estimate small_request{100, 500, true};
constexpr request_estimate download{100, 90'000, true};
constexpr request_estimate booking{100, 500, false};
const local_time now{seconds{100}};

upstream make_upstream(unsigned running, unsigned waiting, double slowness)
{
    upstream item;
    item.entry.slots = 3;
    item.report = load_report{running, waiting, 3, slowness};
    item.reported_at = now;
    return item;
}

double rank_of(upstream& item, const request_estimate& request = small_request,
               bool same_domain = true)
{
    return rank_ms({&item, same_domain, true}, request, now);
}

} // namespace

TEST_CASE("noisy neighbours: a busy upstream at its normal speed ranks before an idle slowed one")
{
    auto busy = make_upstream(1, 0, 1);
    auto slowed = make_upstream(0, 0, 4);
    CHECK(rank_of(busy) < rank_of(slowed));
}

TEST_CASE("uneven load: the last slot ranks after an earlier one, a queue after both")
{
    auto idle = make_upstream(0, 0, 1);
    auto last = make_upstream(2, 0, 1);
    auto full = make_upstream(3, 0, 1);
    auto queued = make_upstream(3, 4, 1);
    CHECK(rank_of(idle) < rank_of(last));
    CHECK(rank_of(last) < rank_of(full));
    CHECK(rank_of(full) < rank_of(queued));
    CHECK(has_free_slot(last));
    CHECK_FALSE(has_free_slot(full));
}

TEST_CASE("requests sent since the report count as running")
{
    auto item = make_upstream(1, 0, 1);
    item.sent_since_report = 2;
    CHECK(busy_slots(item) == 3);
    CHECK_FALSE(has_free_slot(item));
    item.in_flight = 5;
    CHECK(busy_slots(item) == 5);
}

TEST_CASE(
    "downloads stay in the failure domain unless that costs more than sending the bytes across")
{
    auto same_domain = make_upstream(2, 0, 1);
    auto other_domain = make_upstream(0, 0, 1);
    CHECK(rank_of(same_domain, download, true) < rank_of(other_domain, download, false));
    CHECK(rank_of(same_domain, small_request, true) > rank_of(other_domain, small_request, false));
    auto slowed = make_upstream(0, 0, 4);
    CHECK(rank_of(slowed, download, true) > rank_of(other_domain, download, false));
}

TEST_CASE(
    "grey failure: a failing upstream ranks lower, most of all for requests that cannot be retried")
{
    auto good = make_upstream(1, 0, 1);
    auto failing = make_upstream(0, 0, 1);
    failing.failures.record_failure(now);
    CHECK(rank_of(good) < rank_of(failing));
    CHECK(rank_of(failing, booking) > 2 * rank_of(failing));
}

TEST_CASE("an unhealthy upstream ranks after a slowed one on its last slot")
{
    auto unhealthy = make_upstream(0, 0, 1);
    unhealthy.unhealthy = true;
    auto slowed = make_upstream(2, 0, 4);
    CHECK(rank_of(slowed) < rank_of(unhealthy));
}

TEST_CASE("a cold upstream is assumed to be slower and is never ideal")
{
    auto cold = make_upstream(0, 0, 1);
    cold.cold_until = now + seconds{1};
    auto warm = make_upstream(1, 0, 1);
    CHECK(rank_of(warm) < rank_of(cold));
    CHECK_FALSE(is_ideal({&cold, true, true}, small_request, now));
    CHECK(is_ideal({&warm, true, true}, small_request, now));
}

TEST_CASE("an upstream without a fresh report is never ideal")
{
    auto item = make_upstream(0, 0, 1);
    CHECK_FALSE(is_ideal({&item, true, false}, small_request, now));
}

TEST_CASE("failing everywhere: failures and bad health affect the rank, not the expected time")
{
    auto failing = make_upstream(0, 0, 1);
    for (int i = 0; i < 10; ++i) {
        failing.failures.record_failure(now);
    }
    failing.unhealthy = true;
    CHECK(expected_ms({&failing, false, true}, download, now) < 110);
}

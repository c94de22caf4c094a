/** @file upstream_failures_test.cpp What is remembered of failures. */
#include "upstream_type.hpp"

#include <catch2/catch.hpp>

using namespace sniperock;

TEST_CASE("grey upstream: failures add up, successes and time make up for them")
{
    failure_record record;
    const local_time start{seconds{100}};
    record.record_failure(start);
    const auto once = record.ratio(start);
    CHECK(once > 0.2);
    record.record_failure(start);
    CHECK(record.ratio(start) > once);
    CHECK(record.ratio(start + seconds{4}) == Approx(record.ratio(start) / 2));
    record.succeeded(start);
    record.succeeded(start);
    record.succeeded(start);
    CHECK(record.ratio(start) < once);
}

TEST_CASE("flapping upstream: each silence puts the next try off longer, up to a limit")
{
    failure_record record;
    local_time now{seconds{100}};
    nanoseconds last{0};
    for (int at = 0; at < 12; ++at) {
        // Only the first silence after an answer is news.
        CHECK(record.record_no_response(now) == (at == 0));
        const auto began = now;
        while (record.in_backoff(now)) {
            now += milliseconds{10};
        }
        CHECK(now - began >= last);
        last = now - began;
    }
    CHECK(last <= milliseconds{4000});
    CHECK(record.answered());
    CHECK_FALSE(record.answered());
    CHECK(record.record_no_response(now));
    CHECK_FALSE(record.in_backoff(now + milliseconds{250}));
}

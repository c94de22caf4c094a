/** @file upstream_failures_test.cpp Tests of the failure ratio and backoff of an upstream. */
#include "upstream_type.hpp"

#include <catch2/catch.hpp>

using namespace sniperock;

TEST_CASE("grey upstream: failures raise the ratio, successes and time lower it")
{
    failure_record record;
    const local_time start{seconds{100}};
    record.record_failure(start);
    const auto ratio_after_one = record.ratio(start);
    CHECK(ratio_after_one > 0.2);
    record.record_failure(start);
    CHECK(record.ratio(start) > ratio_after_one);
    CHECK(record.ratio(start + seconds{4}) == Approx(record.ratio(start) / 2));
    record.record_success(start);
    record.record_success(start);
    record.record_success(start);
    CHECK(record.ratio(start) < ratio_after_one);
}

TEST_CASE("flapping upstream: the backoff grows with each silence, up to a limit")
{
    failure_record record;
    local_time now{seconds{100}};
    nanoseconds last_backoff{0};
    for (int i = 0; i < 12; ++i) {
        // Only the first missing answer after an answer is reported.
        CHECK(record.record_no_response(now) == (i == 0));
        const auto backoff_start = now;
        while (record.in_backoff(now)) {
            now += milliseconds{10};
        }
        CHECK(now - backoff_start >= last_backoff);
        last_backoff = now - backoff_start;
    }
    CHECK(last_backoff <= milliseconds{4000});
    CHECK(record.record_response());
    CHECK_FALSE(record.record_response());
    CHECK(record.record_no_response(now));
    CHECK_FALSE(record.in_backoff(now + milliseconds{250}));
}

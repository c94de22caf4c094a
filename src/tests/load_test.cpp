/** @file load_test.cpp Latency buckets, arrivals and stream specifications. */
#include "finding_type.hpp"
#include "load_arrivals.hpp"
#include "load_func.hpp"
#include "load_histogram.hpp"

#include <catch2/catch.hpp>

using namespace sniperock;

TEST_CASE("a quantile is within a hundredth of the measured value")
{
    latency_histogram histogram;
    for (int value = 10'000; value >= 1; --value) {
        histogram.add(microseconds{value});
    }
    CHECK(histogram.quantile(0.5).count() == Approx(5000).epsilon(0.01));
    CHECK(histogram.quantile(0.999).count() == Approx(9990).epsilon(0.01));
    CHECK(histogram.quantile(1.0) == microseconds{10'000});
    CHECK(latency_histogram{}.quantile(0.5) == microseconds{0});
}

TEST_CASE("merged latencies count as if added to one")
{
    latency_histogram low;
    latency_histogram high;
    low.add(microseconds{100});
    high.add(microseconds{900});
    low.merge(high);
    CHECK(low.count() == 2);
    CHECK(low.quantile(0.5).count() == Approx(100).epsilon(0.01));
    CHECK(low.longest() == microseconds{900});
}

TEST_CASE("equal gaps are shared evenly and halve when the rate doubles")
{
    load_stream stream;
    stream.rate = 100;
    stream.shape = arrival_shape::constant;
    stream.steps = {{milliseconds{1000}, 2.0}};
    load_arrivals arrivals(stream, 1.0, 0.0, 1);
    std::size_t before = 0;
    std::size_t after = 0;
    for (auto at = arrivals.next(); at < seconds{2}; at = arrivals.next()) {
        ++(at <= milliseconds{1000} ? before : after);
    }
    CHECK(before == 100);
    CHECK(after == 199);
}

TEST_CASE("independent arrivals keep the rate and repeat with their seed")
{
    load_stream stream;
    stream.rate = 1000;
    load_arrivals first(stream, 0.5, 0.0, 7);
    load_arrivals second(stream, 0.5, 0.0, 7);
    nanoseconds last{0};
    constexpr int calls = 10'000;
    for (int number = 0; number < calls; ++number) {
        const auto at = first.next();
        REQUIRE(at == second.next());
        REQUIRE(at >= last);
        last = at;
    }
    // 10,000 calls at 500 a second take 20 s, give or take five standard deviations of 0.2 s.
    CHECK(std::chrono::duration<double>(last).count() == Approx(20.0).margin(1.0));
}

TEST_CASE("a stream is read from words, and every fault in it is reported")
{
    const auto stream = parse_load_stream(
        "plan=gold key=k host=portal.example method=POST path=/b rate=30 steps=500:2,900:0.5 "
        "body=64 idempotency=yes shape=constant",
        "test");
    CHECK(service_of(stream) == "portal");
    CHECK(stream.rate == 30);
    REQUIRE(stream.steps.size() == 2);
    CHECK(stream.steps.at(1).at == milliseconds{900});
    CHECK(stream.idempotency_key);
    try {
        parse_load_stream("rate=-3 colour=red path=x steps=9:1,3:1", "test");
        FAIL("accepted");
    }
    catch (const invalid_input& fault) {
        CHECK(fault.findings().size() == 5);
    }
}

TEST_CASE("streams are read from a JSON document")
{
    const auto streams = parse_load_plan(
        R"({"streams": [{"host": "a.example", "rate": 5}, {"host": "b.example", "body": 9}]})",
        "test");
    REQUIRE(streams.size() == 2);
    CHECK(streams.at(0).rate == 5);
    CHECK(streams.at(1).body_bytes == 9);
    CHECK_THROWS_AS(parse_load_plan("[]", "test"), invalid_input);
}

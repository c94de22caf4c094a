/** @file edge_relay_test.cpp Which answers can go on from another server, and attempt budgets. */
#include "edge_budget.hpp"
#include "edge_relay.hpp"
#include "edge_slot.hpp"

#include <catch2/catch.hpp>

using namespace sniperock;

namespace {

http_head make_request(const std::string& method)
{
    http_head head;
    head.method = method;
    head.target = "/";
    return head;
}

http_head make_answer(const std::string& etag, std::uint64_t length)
{
    http_head head;
    head.status = 200;
    head.framing = body_framing::length;
    head.body_length = length;
    head.headers.add("ETag", etag);
    return head;
}

http_head make_rest(const std::string& etag, const std::string& range, std::uint64_t length)
{
    auto head = make_answer(etag, length);
    head.status = 206;
    head.headers.add("Content-Range", range);
    return head;
}

} // namespace

TEST_CASE("only a GET with a strong entity tag is resumable")
{
    const auto resumable = [](const std::string& method, const std::string& etag) {
        answer_relay relay;
        std::string out;
        relay.begin(out, make_request(method), make_answer(etag, 10), false);
        return relay.resumable();
    };
    CHECK(resumable("GET", "\"v1\""));
    CHECK_FALSE(resumable("GET", "W/\"v1\""));
    CHECK_FALSE(resumable("GET", ""));
    CHECK_FALSE(resumable("POST", "\"v1\""));
}

TEST_CASE("only exactly the missing bytes of the same version fit")
{
    answer_relay relay;
    std::string out;
    relay.begin(out, make_request("GET"), make_answer("\"v1\"", 10), false);
    relay.passed(4);
    CHECK(relay.fits(make_rest("\"v1\"", "bytes 4-9/10", 6)));
    CHECK_FALSE(relay.fits(make_rest("\"v2\"", "bytes 4-9/10", 6)));
    CHECK_FALSE(relay.fits(make_rest("\"v1\"", "bytes 3-9/10", 7)));
    CHECK_FALSE(relay.fits(make_rest("\"v1\"", "bytes 4-8/10", 5)));
    CHECK_FALSE(relay.fits(make_rest("\"v1\"", "bytes 4-10/11", 7)));
    CHECK_FALSE(relay.fits(make_rest("\"v1\"", "bytes 4-9/10", 5)));
    CHECK_FALSE(relay.fits(make_rest("\"v1\"", "bytes 4-9/*", 6)));
    CHECK_FALSE(relay.fits(make_answer("\"v1\"", 6)));
}

TEST_CASE("a budget gives its burst and then a share of the calls")
{
    attempt_budget budget(0.5, 2);
    CHECK(budget.spend());
    CHECK(budget.spend());
    CHECK_FALSE(budget.spend());
    budget.earn();
    CHECK_FALSE(budget.spend());
    budget.earn();
    CHECK(budget.spend());
    CHECK_FALSE(budget.spend());
}

TEST_CASE("the latency estimate settles near the wanted quantile")
{
    latency_quantile estimate(0.9);
    CHECK_FALSE(estimate.value().has_value());
    for (int sample = 0; sample < 10'000; ++sample) {
        // Each value from 1 to 100 ms once in a hundred, in mixed order.
        estimate.add(milliseconds{1 + sample * 37 % 100});
    }
    REQUIRE(estimate.value());
    CHECK(*estimate.value() > milliseconds{80});
    CHECK(*estimate.value() < milliseconds{100});
}

TEST_CASE("a slot is given back exactly once, whether it is finished, moved or dropped")
{
    dispatcher slots({{"vm-a", incarnation{1}}, "d"}, {}, {});
    slots.set_owned({{"s", {{"server", "127.0.0.1", 1, "d", 4, 4}}}});
    const auto take = [&] {
        grant_result got = refusal{};
        const auto now = boot_clock::now();
        slots.acquire({"s", "gold", call_class::safe, now + seconds{10}, {}}, now,
                      system_clock_source::wall_now(),
                      [&](grant_result result) { got = std::move(result); });
        return held_slot(slots, std::get<grant>(std::move(got)));
    };
    const auto in_flight = [&] { return slots.status().front().in_flight; };
    const auto other = take();
    {
        auto first = take();
        CHECK(in_flight() == 2);
        auto moved = std::move(first);
        CHECK(in_flight() == 2);
        moved.finish({call_result::answered, milliseconds{1}, std::nullopt});
        CHECK(in_flight() == 1);
        moved.finish({call_result::answered, milliseconds{1}, std::nullopt});
        CHECK(in_flight() == 1);
    }
    CHECK(in_flight() == 1);
    {
        const auto dropped = take();
        CHECK(in_flight() == 2);
    }
    CHECK(in_flight() == 1);
}

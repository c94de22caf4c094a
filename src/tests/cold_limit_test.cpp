/** @file cold_limit_test.cpp Ramp and cut of a server's limit. */
#include "cold_limit.hpp"
#include "random_type.hpp"

#include <catch2/catch.hpp>

#include <random>

using namespace sniperock;

namespace {

/** A limit of 3 slots, 1 while cold, and its clock. */
struct fixture {
    bool answer(milliseconds latency, std::optional<server_phase> phase = std::nullopt,
                nanoseconds peers = {})
    {
        clock.advance(milliseconds{20});
        return limit.on_answer({latency, peers, phase}, clock.now());
    }
    void warm_up()
    {
        for (int count = 0; count < 200; ++count) {
            answer(milliseconds{5}, server_phase::warm);
        }
        REQUIRE(limit.is_warm());
    }
    manual_clock clock;
    cold_limit limit{3, 1, clock.now()};
};

} // namespace

TEST_CASE("a limit starts cold and rises by normal answers, slower without a report")
{
    fixture reported;
    fixture silent;
    int answers = 0;
    while (!reported.limit.is_warm()) {
        REQUIRE(++answers < 1000);
        const auto before = reported.limit.current();
        reported.answer(milliseconds{5}, server_phase::warm);
        silent.answer(milliseconds{5});
        CHECK(reported.limit.current() <= before + 1);
    }
    CHECK(answers >= 12);
    CHECK_FALSE(silent.limit.is_warm());
}

TEST_CASE("a server that reports itself cold gets no more than its cold limit")
{
    fixture test;
    for (int count = 0; count < 500; ++count) {
        test.answer(milliseconds{5}, server_phase::cold);
        REQUIRE(test.limit.current() == 1);
    }
}

TEST_CASE("the first sign of cold cuts a warm limit at once")
{
    fixture test;
    test.warm_up();
    SECTION("a report")
    {
        CHECK(test.answer(milliseconds{5}, server_phase::cold));
    }
    SECTION("a latency far out of line, though the report says warm")
    {
        CHECK(test.answer(milliseconds{60}, server_phase::warm));
    }
    SECTION("slowness that lasts")
    {
        bool cut = false;
        for (int count = 0; count < 20 && !cut; ++count) {
            cut = test.answer(milliseconds{25}, server_phase::warm);
        }
        CHECK(cut);
    }
    CHECK(test.limit.current() == 1);
}

TEST_CASE("slowness that all peers share does not cut")
{
    fixture test;
    test.warm_up();
    for (int count = 0; count < 100; ++count) {
        CHECK_FALSE(test.answer(milliseconds{60}, server_phase::warm, milliseconds{60}));
    }
}

TEST_CASE("no evidence takes a limit out of its bounds, and a cut always reaches the cold limit")
{
    for (std::uint64_t seed = 1; seed <= 2'000; ++seed) {
        INFO("seed " << seed);
        random_engine random(seed);
        const auto draw = [&](int below) { return static_cast<int>(random() % below); };
        const std::uint32_t slots = 1 + draw(5);
        const std::uint32_t cold = 1 + draw(5);
        manual_clock clock;
        cold_limit limit(slots, cold, clock.now());
        for (int step = 0; step < 200; ++step) {
            clock.advance(milliseconds{draw(100)});
            const auto phase = draw(20) == 0 ? server_phase::cold : server_phase::warm;
            const milliseconds latency{1 + draw(draw(10) == 0 ? 300 : 10)};
            if (limit.on_answer({latency, {}, phase}, clock.now()) || phase == server_phase::cold) {
                REQUIRE(limit.current() == std::min(cold, slots));
            }
            REQUIRE(limit.current() <= slots);
            REQUIRE(limit.current() >= std::min(cold, slots));
        }
    }
}

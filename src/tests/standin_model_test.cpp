/** @file standin_model_test.cpp Each behaviour of a stand-in server, by a clock that tests move. */
#include "standin_model.hpp"

#include <catch2/catch.hpp>

using namespace sniperock;

namespace {

server_behaviour warm_behaviour()
{
    server_behaviour behaviour;
    behaviour.slots = 2;
    behaviour.cold_slots = 1;
    behaviour.queue_limit = 2;
    return behaviour;
}

} // namespace

TEST_CASE("calls above the slots wait in order of arrival, and above the queue are shed")
{
    manual_clock clock;
    server_model model(warm_behaviour(), clock.now());
    const auto first = model.arrive(clock.now(), false);
    model.arrive(clock.now(), false);
    const auto third = model.arrive(clock.now(), false);
    const auto fourth = model.arrive(clock.now(), false);
    CHECK(first.verdict == arrival_verdict::run);
    CHECK(third.verdict == arrival_verdict::wait);
    CHECK(model.arrive(clock.now(), false).verdict == arrival_verdict::shed);
    CHECK(model.finish(first.ticket, clock.now()) == third.ticket);
    CHECK(model.finish(third.ticket, clock.now()) == fourth.ticket);
    const auto& record = model.record(clock.now());
    CHECK(record.most_in_flight == 4);
    CHECK(record.most_running == 2);
    CHECK(record.calls == 4);
    CHECK(record.shed == 1);
}

TEST_CASE("an abandoned waiting call leaves the queue")
{
    manual_clock clock;
    server_model model(warm_behaviour(), clock.now());
    const auto first = model.arrive(clock.now(), false);
    model.arrive(clock.now(), false);
    const auto third = model.arrive(clock.now(), false);
    const auto fourth = model.arrive(clock.now(), false);
    model.abandon(third.ticket, clock.now());
    CHECK(model.finish(first.ticket, clock.now()) == fourth.ticket);
    CHECK(model.record(clock.now()).in_flight == 2);
}

TEST_CASE("a cold server falls over above what it bears and comes back cold")
{
    manual_clock clock;
    auto behaviour = warm_behaviour();
    behaviour.cold_time = milliseconds{1000};
    behaviour.down_time = milliseconds{300};
    server_model model(behaviour, clock.now());
    const auto first = model.arrive(clock.now(), false);
    CHECK(first.verdict == arrival_verdict::run);
    CHECK(model.arrive(clock.now(), false).verdict == arrival_verdict::fall_over);
    CHECK(model.arrive(clock.now(), false).verdict == arrival_verdict::down);
    CHECK_FALSE(model.is_current(first.ticket));
    CHECK(model.finish(first.ticket, clock.now()) == std::nullopt);
    clock.advance(milliseconds{300});
    CHECK(model.record(clock.now()).phase == server_phase::cold);
    CHECK(model.arrive(clock.now(), false).verdict == arrival_verdict::run);
    const auto& record = model.record(clock.now());
    CHECK(record.fell_over == 1);
    CHECK(record.most_cold_in_flight == 2);
    clock.advance(milliseconds{1000});
    CHECK(model.record(clock.now()).phase == server_phase::warm);
}

TEST_CASE("a server that starts warm is cold after a restart")
{
    manual_clock clock;
    auto behaviour = warm_behaviour();
    behaviour.cold_time = milliseconds{1000};
    behaviour.starts_warm = true;
    server_model model(behaviour, clock.now());
    CHECK(model.record(clock.now()).phase == server_phase::warm);
    server_command order;
    order.restart = true;
    model.command(order, clock.now());
    CHECK(model.record(clock.now()).phase == server_phase::cold);
    clock.advance(milliseconds{1000});
    CHECK(model.record(clock.now()).phase == server_phase::warm);
}

TEST_CASE("a cold server is warm after its number of calls")
{
    manual_clock clock;
    auto behaviour = warm_behaviour();
    behaviour.cold_time = milliseconds{60'000};
    behaviour.cold_calls = 2;
    server_model model(behaviour, clock.now());
    for (int call = 0; call < 2; ++call) {
        CHECK(model.record(clock.now()).phase == server_phase::cold);
        model.finish(model.arrive(clock.now(), false).ticket, clock.now());
    }
    CHECK(model.record(clock.now()).phase == server_phase::warm);
}

TEST_CASE("a warm server turns cold on command, and bears its load for the grace only")
{
    manual_clock clock;
    auto behaviour = warm_behaviour();
    behaviour.cold_time = milliseconds{1000};
    behaviour.cold_grace = milliseconds{50};
    server_model model(behaviour, clock.now());
    clock.advance(milliseconds{1000});
    server_command order;
    order.phase = server_phase::cold;
    model.arrive(clock.now(), false);
    model.command(order, clock.now());
    CHECK(model.arrive(clock.now(), false).verdict == arrival_verdict::run);
    clock.advance(milliseconds{50});
    CHECK(model.arrive(clock.now(), false).verdict == arrival_verdict::fall_over);
}

TEST_CASE("a cold server is slower by its factor, and a slow spell adds to it")
{
    manual_clock clock;
    auto behaviour = warm_behaviour();
    behaviour.cold_factor = 4.0;
    const auto mean_over = [&clock](server_model& model) {
        constexpr int draws = 20'000;
        microseconds sum{0};
        for (int draw = 0; draw < draws; ++draw) {
            sum += model.draw_service_time(clock.now());
        }
        return static_cast<double>(sum.count()) / draws;
    };
    server_model model(behaviour, clock.now());
    CHECK(mean_over(model) == Approx(5000).epsilon(0.05));
    server_command order;
    order.phase = server_phase::cold;
    model.command(order, clock.now());
    CHECK(mean_over(model) == Approx(20'000).epsilon(0.05));
    server_command slow;
    slow.slow_factor = 2.0;
    slow.slow_time = milliseconds{100};
    model.command(slow, clock.now());
    CHECK(mean_over(model) == Approx(40'000).epsilon(0.05));
    clock.advance(milliseconds{100});
    CHECK(mean_over(model) == Approx(20'000).epsilon(0.05));
}

TEST_CASE("random slow spells come again with the same seed")
{
    manual_clock clock;
    auto behaviour = warm_behaviour();
    behaviour.spell_every = milliseconds{500};
    behaviour.spell_time = milliseconds{100};
    behaviour.spell_factor = 1000;
    server_model first(behaviour, clock.now());
    server_model second(behaviour, clock.now());
    int slow = 0;
    constexpr int steps = 10'000;
    for (int step = 0; step < steps; ++step) {
        clock.advance(milliseconds{10});
        const auto time = first.draw_service_time(clock.now());
        REQUIRE(time == second.draw_service_time(clock.now()));
        slow += time > milliseconds{100} ? 1 : 0;
    }
    // A sixth of the time is slow; 100 s hold about 167 spells, so five deviations are 0.06.
    CHECK(static_cast<double>(slow) / steps == Approx(1.0 / 6).margin(0.06));
}

TEST_CASE("drain, shed, fast failure and a passed deadline each get their own verdict")
{
    manual_clock clock;
    server_model model(warm_behaviour(), clock.now());
    const auto verdict_after = [&](const server_command& order) {
        model.command(order, clock.now());
        return model.arrive(clock.now(), false).verdict;
    };
    CHECK(model.arrive(clock.now(), true).verdict == arrival_verdict::late);
    server_command order;
    order.fail_fast = true;
    CHECK(verdict_after(order) == arrival_verdict::fail_fast);
    order.shed = true;
    CHECK(verdict_after(order) == arrival_verdict::shed);
    order = {};
    order.shed = false;
    order.fail_fast = false;
    order.phase = server_phase::draining;
    CHECK(verdict_after(order) == arrival_verdict::shed);
    CHECK(model.report(clock.now()).starts_with("phase=draining"));
    order.phase = server_phase::warm;
    CHECK(verdict_after(order) == arrival_verdict::run);
    const auto& record = model.record(clock.now());
    CHECK(record.late == 1);
    CHECK(record.failed_fast == 1);
    CHECK(record.shed == 2);
}

TEST_CASE("a lagging report shows the load as it was, a misleading one its text")
{
    manual_clock clock;
    auto behaviour = warm_behaviour();
    behaviour.report_lag = milliseconds{100};
    server_model model(behaviour, clock.now());
    clock.advance(milliseconds{200});
    model.arrive(clock.now(), false);
    CHECK(model.report(clock.now()) == "phase=warm;in_flight=0;slots=2");
    clock.advance(milliseconds{60});
    model.arrive(clock.now(), false);
    clock.advance(milliseconds{60});
    CHECK(model.report(clock.now()) == "phase=warm;in_flight=1;slots=2");
    clock.advance(milliseconds{60});
    CHECK(model.report(clock.now()) == "phase=warm;in_flight=2;slots=2");
    server_command order;
    order.report = "phase=warm;in_flight=0;slots=9";
    model.command(order, clock.now());
    CHECK(model.report(clock.now()) == "phase=warm;in_flight=0;slots=9");
}

/** @file demo_promises_test.cpp Each broken promise is named. */
#include "demo_promises.hpp"

#include <catch2/catch.hpp>

#include <functional>

using namespace sniperock;

namespace {

run_outcome sound_run()
{
    run_outcome run;
    auto& counts = run.load.rows[{"gold", "portal", call_class::safe}];
    counts.sent = 10'000;
    counts.answered = 10'000;
    server_outcome server;
    server.behaviour.name = "portal-0";
    server.record.most_in_flight = server.behaviour.slots;
    server.record.most_cold_in_flight = server.behaviour.cold_slots;
    server.record.probes = 5;
    server.service = "portal";
    run.servers = {server};
    run.probes_allowed = 5;
    return run;
}

} // namespace

TEST_CASE("a sound run breaks no promise")
{
    CHECK(broken_promises(sound_run()).empty());
}

TEST_CASE("each fault of a run is one broken promise")
{
    const std::vector<std::function<void(run_outcome&)>> faults{
        [](run_outcome& run) { run.load.rows.begin()->second.cut_off = 1; },
        [](run_outcome& run) { run.load.rows.begin()->second.timed_out = 1; },
        [](run_outcome& run) { run.load.rows.begin()->second.unknown = 1; },
        [](run_outcome& run) { run.load.rows.begin()->second.failed = 1; },
        [](run_outcome& run) { run.load.rows.begin()->second.not_sent = 1; },
        [](run_outcome& run) { run.load.rows.begin()->second.crossed = 1; },
        [](run_outcome& run) { run.load.rows.begin()->second.damaged = 1; },
        [](run_outcome& run) { run.load.rows.begin()->second.doubled = 1; },
        [](run_outcome& run) { run.load.rows.begin()->second.answered = 9'989; },
        [](run_outcome& run) { ++run.servers.front().record.most_in_flight; },
        [](run_outcome& run) { ++run.servers.front().record.most_cold_in_flight; },
        [](run_outcome& run) { run.servers.front().record.fell_over = 1; },
        [](run_outcome& run) { ++run.servers.front().record.probes; },
        [](run_outcome& run) { run.ledger.doubles = 1; },
        [](run_outcome& run) { run.false_not_run = 1; },
        [](run_outcome& run) { run.calls_while_out = 1; },
    };
    for (const auto& fault : faults) {
        auto run = sound_run();
        fault(run);
        CHECK(broken_promises(run).size() == 1);
    }
}

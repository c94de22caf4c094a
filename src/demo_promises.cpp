/** @file demo_promises.cpp Which promises a run kept. */
#include "demo_promises.hpp"

#include <array>
#include <map>

namespace sniperock {
namespace {

/** Collects one line for each broken promise. */
class promise_list {
public:
    void require(bool held, const std::string& text)
    {
        if (!held) {
            broken_.push_back(text);
        }
    }
    std::vector<std::string> take() { return std::move(broken_); }

private:
    std::vector<std::string> broken_;
};

/** A count that must be zero for every row. */
struct forbidden_count {
    std::uint64_t load_counts::*field;
    const char* text;
};

constexpr std::array forbidden_counts{
    forbidden_count{&load_counts::cut_off, "cut off"},
    forbidden_count{&load_counts::timed_out, "never answered"},
    forbidden_count{&load_counts::unknown, "left unknown"},
    forbidden_count{&load_counts::failed, "answered with an error"},
    forbidden_count{&load_counts::not_sent, "not taken by any entry vm"},
    forbidden_count{&load_counts::crossed, "given another call's answer"},
    forbidden_count{&load_counts::damaged, "given a damaged answer"},
    forbidden_count{&load_counts::doubled, "answered twice"},
};

void judge_row(const load_row& row, const load_counts& counts, promise_list& promises)
{
    const std::string who =
        row.plan + "'s " + std::string{to_name(row.kind)} + " calls to " + row.service;
    for (const auto& item : forbidden_counts) {
        const auto count = counts.*item.field;
        promises.require(count == 0, std::to_string(count) + " of " + who + " were " + item.text);
    }
    const auto share = static_cast<double>(counts.answered) /
                       static_cast<double>(std::max<std::uint64_t>(1, counts.sent));
    promises.require(counts.sent > 0 && share >= least_answered_share,
                     "only " + std::to_string(counts.answered) + " of " +
                         std::to_string(counts.sent) + " of " + who + " were answered");
}

void judge_server(const server_outcome& server, promise_list& promises)
{
    const auto& name = server.behaviour.name;
    const auto& record = server.record;
    promises.require(record.most_in_flight <= server.behaviour.slots,
                     name + " had " + std::to_string(record.most_in_flight) +
                         " calls in flight and has " + std::to_string(server.behaviour.slots) +
                         " slots");
    promises.require(record.most_cold_in_flight <= server.behaviour.cold_slots,
                     name + " had " + std::to_string(record.most_cold_in_flight) +
                         " calls in flight while cold and bears " +
                         std::to_string(server.behaviour.cold_slots));
    promises.require(record.fell_over == 0, name + " fell over");
}

void judge_probes(const run_outcome& run, promise_list& promises)
{
    std::map<std::string, std::uint64_t> probes;
    for (const auto& server : run.servers) {
        probes[server.service] += server.record.probes;
    }
    for (const auto& [service, count] : probes) {
        promises.require(count <= run.probes_allowed,
                         service + " got " + std::to_string(count) + " probes and is to get " +
                             std::to_string(run.probes_allowed) + " at most");
    }
}

} // namespace

std::vector<std::string> broken_promises(const run_outcome& run)
{
    promise_list promises;
    for (const auto& [row, counts] : run.load.rows) {
        judge_row(row, counts, promises);
    }
    for (const auto& server : run.servers) {
        judge_server(server, promises);
    }
    judge_probes(run, promises);
    promises.require(run.ledger.doubles == 0,
                     std::to_string(run.ledger.doubles) + " calls that may run once ran again");
    promises.require(run.false_not_run == 0,
                     std::to_string(run.false_not_run) + " calls told as not run did run");
    promises.require(run.calls_while_out == 0,
                     std::to_string(run.calls_while_out) +
                         " calls began in the failure domain after it was out");
    return promises.take();
}

} // namespace sniperock

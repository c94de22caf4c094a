/** @file demo_promises.hpp Which promises a run kept. */
#pragma once

#include "load_type.hpp"
#include "standin_ledger.hpp"
#include "standin_type.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace sniperock {

/** What one server was allowed and did. */
struct server_outcome {
    server_behaviour behaviour;
    server_record record;
    std::string service;
};

/** Everything that is judged. */
struct run_outcome {
    load_result load;
    std::vector<server_outcome> servers;
    ledger_totals ledger;
    /** Calls told as not run that did run. */
    std::uint64_t false_not_run = 0;
    /** Calls that began in the failure domain once it was out for the time allowed. */
    std::uint64_t calls_while_out = 0;
    /** Probes that each service's budget allowed over the run. */
    std::uint64_t probes_allowed = 0;
};

/** One line for each promise that was broken; empty if all held. */
std::vector<std::string> broken_promises(const run_outcome& run);

/** Share of calls that must be answered while a part of the capacity is out. */
inline constexpr double least_answered_share = 0.999;

} // namespace sniperock

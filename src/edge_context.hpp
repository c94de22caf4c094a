/** @file edge_context.hpp What the connections of one io thread share. */
#pragma once

#include "edge_budget.hpp"
#include "edge_linger.hpp"
#include "edge_metrics.hpp"
#include "edge_router.hpp"
#include "edge_server.hpp"
#include "edge_timers.hpp"
#include "locate.hpp"
#include "upstream_pool.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

namespace sniperock {

/** References to the process's parts, from the edge server to its threads. */
struct edge_parts {
    const edge_limits& limits;
    dispatcher& slots;
    router_holder& routers;
    locate_service& locator;
    edge_counters& counters;
    edge_metrics& measured;
};

/** State of one io thread; used by that thread only, but for the parts. */
struct edge_context {
    edge_context(asio::io_context& with_io, const edge_parts& with_parts);

    /** The router in force. */
    const std::shared_ptr<const edge_router>& router();
    /** How long answers of a service take. */
    latency_quantile& latency_of(const std::string& service);
    /** A new attempt's id, unique over all entry vms and their lives. */
    std::string make_call_id();
    /** Bounds how often events that others cause are logged. */
    bool may_log();

    asio::io_context& io;
    edge_parts parts;
    upstream_pool pool;
    edge_timers timers;
    /** Scratch buffers; their contents are used up before control returns to the io loop. */
    std::vector<char> caller_input;
    std::vector<char> upstream_input;
    /** Slots of calls that were given up and that their servers may still run. */
    edge_linger abandoned;
    attempt_budget retries;
    attempt_budget hedges;
    std::string caller_output;
    std::string upstream_output;
    std::thread::id thread;
    /** Connections are closed after their running call. */
    bool draining = false;

private:
    std::shared_ptr<const edge_router> router_;
    std::uint64_t router_version_ = 0;
    std::unordered_map<std::string, latency_quantile> latencies_;
    std::string id_prefix_;
    std::uint64_t next_id_ = 1;
    local_time log_second_{};
    int logged_ = 0;
};

} // namespace sniperock

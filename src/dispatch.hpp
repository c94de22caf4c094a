/** @file dispatch.hpp Hands out the slots of the servers that this vm owns. */
#pragma once

#include "dispatch_type.hpp"

#include <atomic>
#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <shared_mutex>
#include <string>
#include <vector>

namespace sniperock {

/** Limits of a dispatcher. */
struct dispatch_limits {
    /** Waiting calls per service. */
    std::size_t queue_limit = 1000;
};

/** Counts of one service, for the pages. */
struct service_status {
    std::string service;
    std::size_t owned_servers = 0;
    std::size_t slots = 0;
    std::size_t in_flight = 0;
    std::size_t waiting = 0;
};

/**
 * Grants slots on owned servers and queues calls while none is free. Each service is a shard
 * under its own lock; every member may be called from any thread.
 */
class dispatcher {
public:
    explicit dispatcher(dispatch_limits limits) : limits_(limits) {}

    /** Takes over which servers this vm owns in each service, with their places. */
    void set_owned(const std::map<std::string, std::vector<server_entry>>& owned);

    /** Asks for a slot; @p done is called at once or when a slot falls free or the deadline passes.
     */
    void acquire(const call_spec& spec, local_time now, wall_time wall_now, grant_handler done);

    /** Gives a slot back and takes in what the call showed. */
    void release(const grant& used, const call_report& report, local_time now, wall_time wall_now);

    /** Refuses every waiting call whose deadline has passed. */
    void expire(local_time now);

    /** Counts of every service. */
    [[nodiscard]] std::vector<service_status> status() const;

private:
    struct server_slots {
        server_entry entry;
        std::uint32_t in_flight = 0;
    };
    struct waiting_call {
        call_spec spec;
        grant_handler done;
    };
    struct service_shard {
        mutable std::mutex mutex;
        std::vector<server_slots> servers;
        std::deque<waiting_call> waiting;
    };
    using ready_call = std::pair<grant_handler, grant_result>;

    std::shared_ptr<service_shard> find_shard(const std::string& service) const;
    std::optional<grant> take_slot(service_shard& shard, const call_spec& spec, local_time now,
                                   wall_time wall_now);
    std::vector<ready_call> serve_waiting(service_shard& shard, local_time now, wall_time wall_now);

    dispatch_limits limits_;
    mutable std::shared_mutex shards_mutex_;
    std::map<std::string, std::shared_ptr<service_shard>, std::less<>> shards_;
    std::atomic<std::uint64_t> next_permit_{1};
};

} // namespace sniperock

/** @file dispatch.hpp Hands out the slots of the servers that this vm owns. */
#pragma once

#include "dispatch_type.hpp"
#include "ownership_type.hpp"
#include "peer_type.hpp"

#include <atomic>
#include <cstddef>
#include <deque>
#include <functional>
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
    /** Name of the balancing policy. */
    std::string policy = "owner";
};

/** The vm that a dispatcher runs on. */
struct dispatch_identity {
    peer_identity self;
    std::string failure_domain;
};

/** Sends a message to another entry vm without waiting; false if it cannot be queued. */
using peer_send =
    std::function<bool(const std::string& vm, peer_message_kind kind, const std::string& payload)>;

/** The sending side of a link as a function. @param link must outlive the function. */
template <peer_sender Link>
peer_send send_through(Link& link)
{
    return [&link](const std::string& vm, peer_message_kind kind, const std::string& payload) {
        return link.send(vm, kind, payload);
    };
}

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
    /**
     * @param identity the vm that grants.
     * @param limits bounds of the queues.
     * @param send reaches the other entry vms.
     */
    dispatcher(dispatch_identity identity, dispatch_limits limits, peer_send send)
        : identity_(std::move(identity)), limits_(std::move(limits)), send_(std::move(send))
    {
    }

    /** Takes over which servers this vm owns in each service, with their places. */
    void set_owned(const std::map<std::string, std::vector<server_entry>>& owned);
    /** Nothing is granted on owned servers at or after @p grant_until; unlimited until first set.
     */
    void set_lease(local_time grant_until);
    /** Takes servers over. */
    void gain(const std::vector<gained_server>& gained, local_time now, wall_time wall_now);
    /** Stops granting on servers and returns their state, for their next owner. */
    std::vector<server_handover> give_up(const std::vector<server_key>& servers, local_time now);
    /** Replaces what is known of who owns what. */
    void set_view(std::shared_ptr<const ownership_view> view);
    /** Takes slots, allowances and availability over from a configuration revision. */
    void apply(std::shared_ptr<const config_snapshot> config);

    /**
     * Asks for a slot. @p done is called once: at once, or when a slot falls free, or when the
     * call cannot be answered in time; perhaps by another thread before this returns.
     * @return what cancel() takes; 0 if @p done was called at once.
     */
    call_ticket acquire(const call_spec& spec, local_time now, wall_time wall_now,
                        grant_handler done);

    /** Drops a waiting call. @return true if its handler was not called and never will be. */
    bool cancel(call_ticket ticket);

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
        call_ticket ticket;
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

    dispatch_identity identity_;
    dispatch_limits limits_;
    peer_send send_;
    std::atomic<local_time> lease_until_{local_time::max()};
    std::atomic<std::uint64_t> next_ticket_{1};
    std::mutex knowledge_mutex_;
    std::shared_ptr<const ownership_view> view_;
    std::shared_ptr<const config_snapshot> config_;
    mutable std::shared_mutex shards_mutex_;
    std::map<std::string, std::shared_ptr<service_shard>, std::less<>> shards_;
    std::atomic<std::uint64_t> next_permit_{1};
};

} // namespace sniperock

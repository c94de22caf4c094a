/** @file dispatch.hpp Hands out the slots of all services, here and by other owners' permits. */
#pragma once

#include "dispatch_context.hpp"
#include "dispatch_service.hpp"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <shared_mutex>
#include <string>
#include <vector>

namespace sniperock {

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

/**
 * The dispatcher of one entry vm. Each service is a shard under its own lock; messages are sent
 * and handlers called with no lock held. Every member may be called from any thread.
 */
class dispatcher {
public:
    /**
     * @param identity the vm that grants.
     * @param limits bounds of the queues and the policy.
     * @param send reaches the other entry vms; may be empty.
     * @param measured takes waits by plan; may be null; must outlive this.
     * @throws unknown_plugin if there is no such policy.
     */
    dispatcher(dispatch_identity identity, dispatch_limits limits, peer_send send,
               metrics* measured = nullptr);

    /** Takes over which servers this vm owns in each service; the rest is given up. */
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
    /** Gives a slot back and takes in what the call showed; exactly once for each grant. */
    void release(const grant& used, const call_report& report, local_time now, wall_time wall_now);

    /** Takes in a permit message of another vm; other kinds are ignored. */
    void on_message(const peer_message& message, local_time now, wall_time wall_now);
    /** The process @p holder is gone: its permits are given back soon. */
    void holder_gone(const peer_identity& holder, wall_time wall_now);

    /** Moves everything on that waits for time to pass, and sends hints; call every few ms. */
    void tick(local_time now, wall_time wall_now);
    /** Refuses every waiting call whose deadline has passed. */
    void expire(local_time now);
    /** Probes to send now. */
    std::vector<probe_order> take_probes(local_time now, wall_time wall_now);
    /** @param report what a probe's answer said; empty if none came. */
    void on_probe(const server_key& server, const std::optional<load_report>& report,
                  local_time now, wall_time wall_now);

    /** Counts of every service. */
    [[nodiscard]] std::vector<service_status> status() const;

private:
    struct service_shard {
        service_shard(const std::string& name, std::uint32_t number, dispatch_context& context)
            : schedule(name, number, context)
        {
        }
        mutable std::mutex mutex;
        service_schedule schedule;
    };
    using shard_map = std::map<std::string, std::shared_ptr<service_shard>, std::less<>>;

    std::shared_ptr<service_shard> find_shard(const std::string& service) const;
    std::shared_ptr<service_shard> make_shard(const std::string& service);
    std::vector<std::shared_ptr<service_shard>> all_shards() const;
    void carry_out(dispatch_effects&& effects);
    void send_hints(const std::vector<outbound_hint>& hints);
    void take_hints(const peer_message& message, moment at);
    template <typename Message, typename Handle>
    void take_in(const peer_message& message, Handle&& handle);
    moment remember(local_time now, wall_time wall_now);
    [[nodiscard]] moment latest() const;

    dispatch_context context_;
    peer_send send_;
    mutable std::shared_mutex shards_mutex_;
    shard_map shards_;
    std::vector<std::shared_ptr<service_shard>> by_number_;
    std::shared_ptr<const ownership_view> view_;
    /** Wall time less local time, from the last call that gave both; in nanoseconds. */
    std::atomic<std::int64_t> wall_offset_{0};
    std::atomic<local_time> last_now_{};
};

} // namespace sniperock

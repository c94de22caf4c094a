/** @file ownership_driver.hpp Runs the epoch machine and the table of servers over a dispatcher, a
 * peer link and a store. */
#pragma once

#include "epoch_machine.hpp"
#include "ownership_table.hpp"
#include "ownership_wire.hpp"
#include "peer_type.hpp"

#include <concepts>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace sniperock {

/** What grants on servers: the dispatcher. When give_up returns, nothing is granted any more. */
template <typename T>
concept ownership_sink =
    requires(T& sink, local_time now, wall_time wall, const std::vector<gained_server>& gained,
             const std::vector<server_key>& lost, std::shared_ptr<const ownership_view> view) {
        sink.set_lease(now);
        sink.gain(gained, now, wall);
        {
            sink.give_up(lost, now)
        } -> std::same_as<std::vector<server_handover>>;
        sink.set_view(view);
    };

/** Asks the store without waiting; results come back to the driver. */
template <typename T>
concept epoch_store = requires(T& store, const epoch_object& object, object_version expected) {
    store.read_epoch();
    store.write_epoch(object, expected);
};

/** Sends to peers and is told which there are. */
template <typename T>
concept member_link = peer_sender<T> && requires(T& link, const std::vector<peer_address>& peers) {
    link.set_peers(peers);
};

/** Is told what happened, for logs and metrics. */
template <typename T>
concept ownership_observer = requires(T& observer, const epoch_object& epoch, epoch_number number,
                                      std::size_t servers, incarnation life) {
    observer.adopted(epoch);
    observer.fenced(number);
    observer.gained(servers);
    observer.gave_up(servers);
    observer.superseded(life);
};

/**
 * Applies the machine's actions in order. Not thread-safe: call from one thread.
 * The sink stops granting on lost servers before any peer hears of the newer epoch or revision.
 */
template <ownership_sink Sink, member_link Link, epoch_store Store, ownership_observer Observer>
class ownership_driver {
public:
    ownership_driver(epoch_settings times, ownership_settings takeover, epoch_member self,
                     std::uint64_t seed, local_time now, Sink& sink, Link& link, Store& store,
                     Observer& observer)
        : times_(times), machine_(times, std::move(self), seed, now), table_(takeover), sink_(sink),
          link_(link), store_(store), observer_(observer)
    {
    }

    /** Call at least once in a quarter of a heartbeat period. */
    void tick(local_time now, wall_time wall)
    {
        apply(machine_.tick(now), now, wall);
        repeat_handovers(now);
        update_peers();
    }

    /** An authentic message of kind heartbeat, handover or handover_reply. @return false if it is
     * malformed or of another kind. */
    bool on_message(const peer_message& message, local_time now, wall_time wall)
    {
        switch (message.kind) {
        case peer_message_kind::heartbeat:
        case peer_message_kind::heartbeat_reply:
            return on_heartbeat(message, now, wall);
        case peer_message_kind::handover:
            return on_handover(message, now, wall);
        case peer_message_kind::handover_reply:
            return on_handover_reply(message);
        default:
            return false;
        }
    }

    void on_store_read(const epoch_read& result, local_time now, wall_time wall)
    {
        apply(machine_.on_store_read(result, now), now, wall);
    }

    void on_store_write(const put_result& result, local_time now, wall_time wall)
    {
        apply(machine_.on_store_write(result, now), now, wall);
    }

    void on_store_watch(const epoch_object& object, object_version version, local_time now,
                        wall_time wall)
    {
        apply(machine_.on_store_watch(object, version, now), now, wall);
    }

    void on_vm_list(const std::vector<vm_record>& records, local_time now)
    {
        machine_.on_vm_list(records, now);
        update_peers();
    }

    /** A newer configuration is in force. */
    void on_snapshot(std::shared_ptr<const config_snapshot> snapshot, local_time now,
                     wall_time wall)
    {
        table_.set_snapshot(std::move(snapshot));
        reassign(now);
        machine_.set_revision(table_.revision(), table_.assigned());
        take_servers(now, wall);
    }

    /** Asks to be left out of the epoch, so that all servers are handed over. */
    void leave(local_time now, wall_time wall)
    {
        machine_.leave();
        tick(now, wall);
    }

    /** True if this vm has left the epoch and every hand-over was acknowledged, or if there is
     * nobody to hand over to. */
    [[nodiscard]] bool has_left(local_time now) const
    {
        const bool holds_none = table_.held_count() == 0 && handovers_.empty();
        return machine_.leaves_nobody(now) ||
               (machine_.is_leaving() && !machine_.is_member() && holds_none);
    }

    [[nodiscard]] const epoch_machine& machine() const { return machine_; }
    [[nodiscard]] const ownership_table& table() const { return table_; }
    /** Hand-overs that were not acknowledged yet. */
    [[nodiscard]] std::size_t pending_handovers() const { return handovers_.size(); }

private:
    /** A hand-over that is repeated until it is acknowledged. */
    struct pending_handover {
        std::string vm;
        std::string payload;
        local_time first_sent;
        local_time last_sent;
    };
    /** Terms after which an unacknowledged hand-over is of no use: the fence has done its work. */
    static constexpr int handover_patience = 4;

    bool on_heartbeat(const peer_message& message, local_time now, wall_time wall)
    {
        const auto body = decode_heartbeat(message.payload);
        if (!body) {
            return false;
        }
        apply(machine_.on_heartbeat(message.from, *body, now), now, wall);
        return true;
    }

    bool on_handover(const peer_message& message, local_time now, wall_time wall)
    {
        const auto body = decode_handover(message.payload);
        if (!body) {
            return false;
        }
        table_.add_handover(message.from, body->epoch, body->servers);
        machine_.on_adopted_elsewhere(message.from, body->epoch, now);
        link_.send(message.from.vm, peer_message_kind::handover_reply,
                   encode_handover_reply({body->id}));
        take_servers(now, wall);
        return true;
    }

    bool on_handover_reply(const peer_message& message)
    {
        const auto body = decode_handover_reply(message.payload);
        if (!body) {
            return false;
        }
        const auto found = handovers_.find(body->id);
        if (found != handovers_.end() && found->second.vm == message.from.vm) {
            handovers_.erase(found);
        }
        return true;
    }

    void apply(const epoch_actions& actions, local_time now, wall_time wall)
    {
        for (const auto& action : actions) {
            std::visit([&](const auto& item) { perform(item, now); }, action);
        }
        take_servers(now, wall);
    }

    void perform(const send_heartbeat& action, local_time)
    {
        link_.send(action.vm, peer_message_kind::heartbeat, encode_heartbeat(action.message));
    }
    void perform(const read_epoch&, local_time) { store_.read_epoch(); }
    void perform(const write_epoch& action, local_time)
    {
        store_.write_epoch(action.object, action.expected);
    }
    void perform(const epoch_adopted& action, local_time now)
    {
        reassign(now);
        observer_.adopted(*action.epoch);
        update_peers();
    }
    void perform(const lease_changed& action, local_time) { sink_.set_lease(action.until); }
    void perform(const epoch_fenced& action, local_time) { observer_.fenced(action.number); }
    void perform(const superseded& action, local_time) { observer_.superseded(action.by); }

    void reassign(local_time now)
    {
        const auto lost = table_.drop(machine_, now);
        if (!lost.empty()) {
            hand_over(sink_.give_up(lost, now), now);
            observer_.gave_up(lost.size());
        }
        sink_.set_view(table_.view());
    }

    void take_servers(local_time now, wall_time wall)
    {
        const auto gained = table_.gain(machine_, now, wall);
        if (!gained.empty()) {
            sink_.gain(gained, now, wall);
            observer_.gained(gained.size());
        }
    }

    /** Tells every new owner what this vm knows of the servers that it gave up. */
    void hand_over(const std::vector<server_handover>& states, local_time now)
    {
        std::map<std::string, handover_message> messages;
        for (const auto& state : states) {
            const auto owner = table_.owner_of(state.server);
            if (owner && owner->vm != machine_.self().vm) {
                messages[owner->vm].servers.push_back(state);
            }
        }
        for (auto& [vm, message] : messages) {
            message.id = next_handover_++;
            message.epoch = machine_.epoch().current.number;
            pending_handover pending{vm, encode_handover(message), now, now};
            link_.send(vm, peer_message_kind::handover, pending.payload);
            handovers_.emplace(message.id, std::move(pending));
        }
    }

    void repeat_handovers(local_time now)
    {
        std::erase_if(handovers_, [&](const auto& item) {
            return now - item.second.first_sent > handover_patience * times_.term;
        });
        for (auto& [id, pending] : handovers_) {
            if (now - pending.last_sent >= times_.heartbeat) {
                pending.last_sent = now;
                link_.send(pending.vm, peer_message_kind::handover, pending.payload);
            }
        }
    }

    void update_peers()
    {
        auto peers = machine_.members().peers(machine_.epoch().current);
        if (peers != peers_) {
            peers_ = std::move(peers);
            link_.set_peers(peers_);
        }
    }

    epoch_settings times_;
    epoch_machine machine_;
    ownership_table table_;
    Sink& sink_;
    Link& link_;
    Store& store_;
    Observer& observer_;
    std::vector<peer_address> peers_;
    std::uint64_t next_handover_ = 1;
    std::map<std::uint64_t, pending_handover> handovers_;
};

} // namespace sniperock

/** @file epoch_machine.hpp Decides who owns servers and until when, without sockets or clocks. */
#pragma once

#include "epoch_type.hpp"
#include "member_table.hpp"
#include "random_type.hpp"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace sniperock {

/**
 * The ownership protocol of one entry vm; docs/design/ownership.md says why it is safe.
 * Every input carries the local time at which it is handed in, and returns what the driver must
 * do, in order. Not thread-safe. The methods propose, adopt, vouch, confirm, fence, take and
 * prune are the transitions of the note and of the model.
 */
class epoch_machine {
public:
    /**
     * @param settings times; see check_epoch_settings.
     * @param self this process.
     * @param seed seed of the jitter and of change ids.
     * @param now local time.
     */
    epoch_machine(epoch_settings settings, epoch_member self, std::uint64_t seed, local_time now);

    /** Call at least once in a quarter of a heartbeat period. */
    epoch_actions tick(local_time now);
    /** An authentic heartbeat came from @p from. */
    epoch_actions on_heartbeat(const peer_identity& from, const heartbeat& message, local_time now);
    /** The read asked for by read_epoch ended. */
    epoch_actions on_store_read(const epoch_read& result, local_time now);
    /** The write asked for by write_epoch ended. */
    epoch_actions on_store_write(const put_result& result, local_time now);
    /** A watch showed the object; confirms no lease, for it is not known how old it is. */
    epoch_actions on_store_watch(const epoch_object& object, object_version version,
                                 local_time now);
    /** The platform's list of vms. */
    void on_vm_list(const std::vector<vm_record>& records, local_time now);
    /** A hand-over showed that @p from has adopted the epoch @p number. */
    void on_adopted_elsewhere(const peer_identity& from, epoch_number number, local_time now);
    /** Names the configuration in force here. @param assigned latest revision that changed who
     * owns what. */
    void set_revision(config_revision in_force, config_revision assigned);
    /** From now on this vm wants to be left out of the epoch. */
    void leave();

    /** The epoch in force here; number 0 if none. */
    [[nodiscard]] const epoch_object& epoch() const { return *adopted_; }
    /** True if this incarnation is a member of the epoch in force. */
    [[nodiscard]] bool is_member() const;
    /** Grants are allowed before this time. */
    [[nodiscard]] local_time lease_until() const { return lease_until_; }
    /** True if no lease of the epoch @p number can run any more. */
    [[nodiscard]] bool is_fenced(epoch_number number) const;
    /**
     * True if nobody else grants, by any earlier epoch, on a server that those were to own.
     * @param owners the server's owner in each unfenced epoch, in the order of epoch().unfenced.
     * @param settled_below epochs below it are known to be settled for this server.
     */
    [[nodiscard]] bool take(const std::vector<peer_identity>& owners,
                            epoch_number settled_below) const;
    /**
     * True if no vm that may hold servers holds them by another assignment than this vm's, so
     * that servers may be gained.
     */
    [[nodiscard]] bool assignment_agreed() const;
    /** When @p who was first heard to have adopted an epoch above @p number; empty if it was not.
     */
    [[nodiscard]] std::optional<local_time> moved_on(const peer_identity& who,
                                                     epoch_number number) const;
    [[nodiscard]] const member_table& members() const { return members_; }
    [[nodiscard]] const epoch_counts& counts() const { return counts_; }
    [[nodiscard]] const epoch_member& self() const { return self_; }
    [[nodiscard]] bool is_leaving() const { return leaving_; }
    /** True if this vm leaves and no other would stay. */
    [[nodiscard]] bool leaves_nobody(local_time now) const;

private:
    /** Progress towards the fence of one earlier epoch. */
    struct fence_state {
        epoch_membership epoch;
        /** When a majority was first seen to have moved on; the commit of a newer epoch came
         * before that. */
        std::optional<local_time> majority_seen;
        bool done = false;
    };
    struct sent_question {
        std::uint64_t number = 0;
        local_time sent;
        epoch_number epoch;
    };
    /** What the store was last seen to hold. */
    struct stored_epoch {
        object_version version = 0;
        epoch_number number;
        /** When the read that showed it was sent; empty if a watch or a write showed it. */
        std::optional<local_time> read;
    };
    enum class store_call { none, read, write };

    void propose(local_time now, epoch_actions& out);
    void adopt(const epoch_object& object, local_time now, epoch_actions& out);
    [[nodiscard]] bool vouch(const std::string& vm, const member_view& asker) const;
    void confirm(local_time now, epoch_actions& out);
    void fence(local_time now, epoch_actions& out);
    [[nodiscard]] std::vector<epoch_membership> prune(const std::vector<epoch_member>& next) const;

    void send_heartbeats(local_time now, epoch_actions& out);
    [[nodiscard]] heartbeat make_heartbeat(const std::string& vm, local_time now) const;
    void take_answer(const std::string& vm, const heartbeat& message);
    void extend_lease(local_time until, epoch_actions& out);
    void read_store(local_time now, epoch_actions& out);
    void read_if_unconfirmed(local_time now, epoch_actions& out);
    void watch_for_superseded(epoch_actions& out);
    [[nodiscard]] bool has_moved_on(const epoch_member& member, epoch_number number,
                                    local_time now) const;
    [[nodiscard]] bool holds_our_assignment(const peer_identity& who, bool in_epoch) const;
    [[nodiscard]] nanoseconds jitter(nanoseconds most);

    epoch_settings settings_;
    epoch_member self_;
    random_engine random_;
    member_table members_;
    std::shared_ptr<const epoch_object> adopted_;
    local_time adopted_at_;
    local_time lease_until_;
    std::map<epoch_number, fence_state> fences_;
    std::uint64_t next_question_ = 1;
    local_time next_heartbeat_;
    std::deque<sent_question> questions_;
    config_revision revision_;
    config_revision assigned_;
    bool leaving_ = false;
    bool superseded_ = false;
    std::optional<stored_epoch> stored_;
    store_call store_call_ = store_call::none;
    local_time store_call_sent_;
    local_time next_read_;
    nanoseconds read_pause_;
    /** The latest proposal of this vm. */
    epoch_object written_;
    std::optional<local_time> change_noticed_;
    nanoseconds proposal_jitter_{0};
    local_time next_proposal_;
    epoch_counts counts_;
};

/** What is wrong with the times, in words; empty if they fit together. */
std::vector<std::string> check_epoch_settings(const epoch_settings& settings);

} // namespace sniperock

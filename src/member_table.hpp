/** @file member_table.hpp What one entry vm knows of the others: who is heard, where, and in which
 * life. */
#pragma once

#include "epoch_type.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sniperock {

/** What was last heard from one peer, in its newest incarnation. */
struct member_view {
    incarnation life;
    std::string failure_domain;
    std::string peer_endpoint;
    local_time heard;
    bool leaving = false;
    /** Newest epoch that it said it had adopted, and when this was first heard. */
    epoch_number adopted;
    local_time adopted_seen;
    config_revision revision;
    config_revision assigned;
    /** Places of the members silent to it, in the epoch numbered @c adopted. */
    std::vector<std::uint32_t> silent;
    /** Its latest question and the epoch that it named. */
    std::uint64_t question = 0;
    epoch_number question_epoch;
    /** When the latest question that it vouched for was sent, and for which epoch. */
    std::optional<local_time> vouched_sent;
    epoch_number vouched_epoch;
    /** When it was last sent this vm's epoch whole. */
    std::optional<local_time> epoch_sent;
};

/** Which members the next epoch should have. */
struct wanted_members {
    std::vector<epoch_member> members;
    /** A member is lost or leaving; waiting to collect more changes would cost service. */
    bool urgent = false;
};

/** Failure detection and membership; plain logic on a clock that is passed in. */
class member_table {
public:
    member_table(epoch_settings settings, epoch_member self, local_time now);

    /** Takes in a heartbeat. @return false if it is from a life known to be over. */
    bool hear(const peer_identity& from, const heartbeat& message, local_time now);
    /** Takes in the platform's list. */
    void list(const std::vector<vm_record>& records, local_time now);
    /** Notes a newer incarnation of this very vm among the members. */
    void notice_self(const epoch_membership& epoch);
    /** Call on each tick: after a pause of this process silence is counted afresh. */
    void notice_time(local_time now);
    /** An epoch was replaced; members that fell out for silence are held down. */
    void epoch_changed(const epoch_membership& before, const epoch_membership& after,
                       local_time now);

    /** What is known of @p vm, if anything was heard of it. */
    [[nodiscard]] const member_view* find(const std::string& vm) const;
    /** As above, to take in what came of a question. */
    [[nodiscard]] member_view* find(const std::string& vm);
    /** What is known of this very incarnation. */
    [[nodiscard]] const member_view* find(const peer_identity& who) const;
    /** True if nothing was heard of it for the suspicion time. */
    [[nodiscard]] bool is_silent(const peer_identity& who, local_time now) const;
    /** True if that incarnation runs no more. */
    [[nodiscard]] bool is_gone(const peer_identity& who, local_time now) const;
    /** Places of the silent members of @p epoch. */
    [[nodiscard]] std::vector<std::uint32_t> silent_members(const epoch_membership& epoch,
                                                            local_time now) const;
    /** Which members the epoch after @p epoch should have. @param self_leaving leave this out. */
    [[nodiscard]] wanted_members wanted(const epoch_membership& epoch, bool self_leaving,
                                        local_time now) const;
    /** How many live vms come before this one in proposing. */
    [[nodiscard]] std::size_t rank(const epoch_membership& epoch, local_time now) const;
    /** Everybody to send heartbeats to: listed, heard, or in @p epoch; never this vm. */
    [[nodiscard]] std::vector<peer_address> peers(const epoch_membership& epoch) const;
    /** The newest incarnation seen of this vm's own name. */
    [[nodiscard]] incarnation newest_of_self() const { return newest_of_self_; }

private:
    struct listed_vm {
        vm_record record;
        /** When it was first missing from the list. */
        std::optional<local_time> missing_since;
    };

    [[nodiscard]] bool reported_silent(const epoch_membership& epoch, std::size_t place,
                                       local_time now) const;
    [[nodiscard]] bool must_drop(const epoch_membership& epoch, std::size_t place,
                                 local_time now) const;
    [[nodiscard]] bool may_join(const std::string& vm, const member_view& view,
                                local_time now) const;

    epoch_settings settings_;
    epoch_member self_;
    local_time last_tick_;
    /** Silence counts from here at the earliest. */
    local_time listening_since_;
    std::map<std::string, member_view> views_;
    std::map<std::string, listed_vm> listed_;
    std::map<peer_identity, local_time> held_down_until_;
    incarnation newest_of_self_;
};

} // namespace sniperock

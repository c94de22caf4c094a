/** @file epoch_type.hpp The epoch object, heartbeats, and what the epoch machine asks its driver to
 * do. */
#pragma once

#include "clock_type.hpp"
#include "peer_type.hpp"
#include "store_type.hpp"
#include "strong_id.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace sniperock {

/** One entry vm's process as a member of an epoch. */
struct epoch_member {
    std::string vm;
    incarnation life;
    std::string failure_domain;
    /** address:port for peer messages. */
    std::string peer_endpoint;

    friend auto operator<=>(const epoch_member&, const epoch_member&) = default;
    /** Vm and incarnation. */
    [[nodiscard]] peer_identity identity() const { return {vm, life}; }
};

/** Who takes part in an epoch; decides every server's owner. */
struct epoch_membership {
    epoch_number number;
    /** Sorted by vm; each vm once. */
    std::vector<epoch_member> members;
    /** Vms that share one service's servers in a failure domain; from 1. */
    std::uint32_t spread = 1;
};

/** The epoch object as stored. */
struct epoch_object {
    epoch_membership current;
    /** Drawn at random by the writer; settles a lost reply. */
    std::uint64_t change_id = 0;
    /** Earlier epochs in which leases may still run, by rising number. */
    std::vector<epoch_membership> unfenced;
};

/** True if @p who is a member under this very incarnation. */
bool has_member(const epoch_membership& epoch, const peer_identity& who);
/** The least number of members that is more than half. */
std::size_t majority_of(const epoch_membership& epoch);
/** True if both have the same members and spread, whatever their numbers. */
bool same_membership(const epoch_membership& left, const epoch_membership& right);

/** Times of the protocol. */
struct epoch_settings {
    /** Between two heartbeats to one peer. */
    milliseconds heartbeat{200};
    /** Silence after which a member is suspected. */
    milliseconds suspicion{1000};
    /** Length of a lease, from the sending of the question that confirms it. */
    milliseconds term{1000};
    /** Added to a term when waiting for another's lease to end, besides the drift allowance. */
    milliseconds margin{30};
    /** How long joining vms are collected into one proposal. */
    milliseconds join_window{500};
    /** Between the proposals of successive ranks. */
    milliseconds rank_step{200};
    /** A member dropped for silence is not proposed again for so long. */
    milliseconds hold_down{10'000};
    /** Longest time by which the platform's list lags. */
    milliseconds list_lag{5000};
    /** Quiet time after which fenced epochs are pruned by a write of their own. */
    milliseconds prune_after{5000};
    /** Vms that share one service's servers in a failure domain. */
    std::uint32_t spread = 1;
};

/** Part of a term by which two clocks may drift apart, in percent. */
inline constexpr int drift_percent = 2;

/** How long a lease of another clock may last at most, on this clock. */
constexpr nanoseconds fence_wait(const epoch_settings& settings)
{
    return nanoseconds{settings.term} * (100 + drift_percent) / 100 + settings.margin;
}

/** What members tell each other in each heartbeat period; also answers the receiver's question. */
struct heartbeat {
    /** Number of this question; grows by one with each period of the sender. */
    std::uint64_t question = 0;
    /** The epoch that the sender adopted; 0 if none. */
    epoch_number epoch;
    /** Configuration revision in force at the sender. */
    config_revision revision;
    /** Latest revision in force there that changed who owns what. */
    config_revision assigned;
    /** The sender is shutting down. */
    bool leaving = false;
    /** Latest question of the receiver that the sender saw; 0 if none. */
    std::uint64_t answered_question = 0;
    /** The incarnation that asked it. */
    incarnation answered_life;
    /** The sender knows no epoch newer than the one that the question named. */
    bool vouched = false;
    /** Places, in the members of the sender's epoch, of those silent to the sender. */
    std::vector<std::uint32_t> silent;
    /** Where the sender stands and listens, so that it can be made a member. */
    std::string failure_domain;
    std::string peer_endpoint;
    /** The sender's epoch, if the receiver is known to have an older one. */
    std::optional<epoch_object> newer;
};

/** Send a heartbeat to a peer. */
struct send_heartbeat {
    std::string vm;
    heartbeat message;
};

/** Read the epoch object and feed the result to on_store_read. */
struct read_epoch {};

/** Write the epoch object conditionally and feed the result to on_store_write. */
struct write_epoch {
    epoch_object object;
    object_version expected = 0;
};

/** A newer epoch holds; servers must be reassigned before anything else is done. */
struct epoch_adopted {
    std::shared_ptr<const epoch_object> epoch;
};

/** Grants are allowed until then. */
struct lease_changed {
    local_time until;
};

/** An earlier epoch's leases have all ended. */
struct epoch_fenced {
    epoch_number number;
};

/** A newer incarnation of this vm was seen: this process must stop. */
struct superseded {
    incarnation by;
};

/** What the driver must do, in order. */
using epoch_action = std::variant<send_heartbeat, read_epoch, write_epoch, epoch_adopted,
                                  lease_changed, epoch_fenced, superseded>;
using epoch_actions = std::vector<epoch_action>;

/** How a read of the epoch object ended. */
struct epoch_read {
    /** False if the store did not answer. */
    bool answered = false;
    /** Empty if the object does not exist; a malformed one counts as not answered. */
    std::optional<epoch_object> object;
    object_version version = 0;
};

/** Counts for the pages. */
struct epoch_counts {
    std::uint64_t heartbeats_sent = 0;
    std::uint64_t heartbeats_received = 0;
    std::uint64_t proposals = 0;
    std::uint64_t proposals_won = 0;
    std::uint64_t adoptions = 0;
    std::uint64_t store_reads = 0;
    std::uint64_t store_confirmations = 0;
    std::uint64_t vouched_confirmations = 0;
};

} // namespace sniperock

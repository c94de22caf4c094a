/** @file ownership_table.hpp Which servers this vm holds, gains and gives up. */
#pragma once

#include "epoch_machine.hpp"
#include "ownership_rendezvous.hpp"
#include "ownership_type.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sniperock {

/** Times of taking servers over. */
struct ownership_settings {
    /** How long a new owner waits for the hand-over of a former owner that has moved on. */
    milliseconds handover_wait{500};
    /** Longest time for which a permit may be in use. */
    milliseconds permit_life{30'000};
};

/**
 * Follows the epoch and the configuration and decides, server by server, when this vm may grant.
 * Plain logic; not thread-safe. After each change of epoch or configuration call drop, stop
 * granting on what it returns, and only then let others know of the change; then call gain.
 */
class ownership_table {
public:
    explicit ownership_table(ownership_settings settings) : settings_(settings) {}

    /** Takes over a newer configuration. */
    void set_snapshot(std::shared_ptr<const config_snapshot> snapshot);
    /** Latest revision that changed who owns what. */
    [[nodiscard]] config_revision assigned() const { return assigned_; }
    /** Revision of the configuration taken over. */
    [[nodiscard]] config_revision revision() const;

    /** Reassigns servers if the epoch or the configuration changed. @return what this vm held and
     * must stop granting on. */
    std::vector<server_key> drop(const epoch_machine& machine, local_time now);
    /** Servers on which this vm may grant from now on. */
    std::vector<gained_server> gain(const epoch_machine& machine, local_time now,
                                    wall_time wall_now);
    /** Takes in what a former owner said when it gave servers up. */
    void add_handover(const peer_identity& from, epoch_number number,
                      const std::vector<server_handover>& servers);

    /** The present owner of a server; empty if it has none. */
    [[nodiscard]] std::optional<peer_identity> owner_of(const server_key& server) const;
    /** True if this vm may grant on the server while its lease holds. */
    [[nodiscard]] bool holds(const server_key& server) const;
    /** Owners of all servers, for the dispatcher and the pages. */
    [[nodiscard]] std::shared_ptr<const ownership_view> view() const;
    [[nodiscard]] std::size_t held_count() const;
    /** Servers that this vm owns and may not grant on yet. */
    [[nodiscard]] std::size_t waiting_count() const;

private:
    struct received_handover {
        peer_identity from;
        epoch_number number;
        server_handover state;
    };
    struct owned_server {
        std::string service;
        server_entry entry;
        peer_identity owner;
        /** Owner in each unfenced epoch. */
        std::vector<peer_identity> former;
        /** Owner before the latest change of configuration moved it here. */
        std::optional<peer_identity> moved_from;
        local_time moved_at;
        /** Entered with a change of the configuration; nobody owned it before. */
        bool added = false;
        /** Was out of service a short while ago. */
        bool back = false;
        /** This vm owns it and may grant on it. */
        bool held = false;
        /** This vm owns it and may not grant on it yet. */
        bool waiting = false;
        epoch_number assigned_in;
        /** Epochs below this are settled for this server. */
        epoch_number settled_below;
    };
    /** Who may own servers in one epoch. */
    struct candidate_set {
        epoch_number number;
        std::uint32_t spread = 1;
        std::vector<owner_candidate> candidates;
        std::map<std::string, peer_identity> identities;
    };

    [[nodiscard]] candidate_set candidates_of(const epoch_membership& epoch) const;
    [[nodiscard]] static peer_identity owner_in(const candidate_set& set, const server_key& key,
                                                const std::string& failure_domain);
    [[nodiscard]] std::map<server_key, owned_server> assign(const epoch_object& epoch) const;
    [[nodiscard]] bool keeps_holding(const owned_server& before, const owned_server& after,
                                     const epoch_machine& machine) const;
    void note_recent(local_time now);
    void carry_over(owned_server& item, const server_key& key, local_time now) const;
    [[nodiscard]] const received_handover* find_handover(const server_key& key,
                                                         const owned_server& item,
                                                         const epoch_machine& machine) const;
    [[nodiscard]] bool awaits_handover(const owned_server& item, const epoch_machine& machine,
                                       local_time now) const;
    [[nodiscard]] gained_server make_gain(const server_key& key, const owned_server& item,
                                          const epoch_machine& machine, wall_time wall_now) const;

    ownership_settings settings_;
    std::shared_ptr<const config_snapshot> snapshot_ = std::make_shared<const config_snapshot>();
    bool snapshot_changed_ = false;
    bool first_snapshot_ = true;
    config_revision assigned_;
    epoch_number number_;
    std::map<server_key, owned_server> servers_;
    /** When servers were last in service, for as long as a permit may be in use. */
    std::map<server_key, local_time> recent_;
    std::map<server_key, received_handover> handovers_;
};

} // namespace sniperock

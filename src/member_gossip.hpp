/** @file member_gossip.hpp Exchanges heartbeats with other VMs over UDP. */
#pragma once

#include "async_func.hpp"
#include "member_reach.hpp"
#include "member_table.hpp"
#include "quarantine_exchange.hpp"
#include "quota_exchange.hpp"
#include "quota_fleet.hpp"
#include "rollout_type.hpp"
#include "store_news.hpp"
#include "upstream_limit.hpp"

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sniperock {

/** Gossip message from one VM to another. */
struct heartbeat {
    std::vector<member_entry> entries;
    /** Newest store revisions that the sender has received; zeros if the message has none. */
    kind_revisions revisions{};
    /** False if the store does not answer the sender. */
    bool store_answers = true;
    /** Newer states of VMs that the receiver is expected to know. */
    std::vector<member_update> updates{};
    /** Addresses of VMs whose entries the sender asks for. */
    std::vector<std::string> wanted{};
    /** Limits of upstreams that the sender has seen, or heard of, lately. */
    std::vector<limit_report> limits{};
    store_view view{};
    /** What the sender knows of requests that end upstreams. */
    std::vector<quarantine_report> quarantine{};
    /** The receiver passes changed verdicts on such requests on to all VMs. */
    bool relay_quarantine = false;
    /** Which services VMs cannot reach. */
    std::vector<reach_report> reach{};
    /** What the sender knows of roll-outs. */
    std::vector<rollout_report> rollouts{};
    /** VMs among which the sender divides quotas; 0 if its release knows none. */
    std::size_t quota_vms = 0;
    std::vector<quota_ask> quota_asks{};
    std::vector<quota_answer> quota_answers{};
    /** Silent VMs that the sender remembers, for a receiver that remembers fewer. */
    std::vector<silent_vm> silent{};
};

/** Encodes a heartbeat for the wire. */
std::string encode_heartbeat(const heartbeat& message);
/** Decodes a heartbeat; empty if the bytes are not a valid one. */
std::optional<heartbeat> decode_heartbeat(std::string_view bytes);

/** What gossip asks and tells the rest of the process. */
struct gossip_callbacks {
    /** True if the store answers this VM. */
    std::function<bool()> store_answers = [] { return true; };
    /** Another VM reports that the store does not answer it. */
    std::function<void()> on_store_outage = [] {};
    /** The limits of upstreams to report, at most so many. */
    std::function<std::vector<limit_report>(std::size_t max_reports)> limits = [](std::size_t) {
        return std::vector<limit_report>{};
    };
    /** Another VM reports the limit of an upstream. */
    std::function<void(const limit_report&)> on_limit = [](const limit_report&) {};
    /** What to report of the store's state. */
    std::function<store_view()> view = [] { return store_view{}; };
    /** Another VM reports the store's state. */
    std::function<void(const store_view&)> on_view = [](const store_view&) {};
    /** What VMs say of the upstreams that they cannot reach, at most so many of others. */
    std::function<std::vector<reach_report>(std::size_t max_reports)> reach = [](std::size_t) {
        return std::vector<reach_report>{};
    };
    /** A VM reports which services it cannot reach. */
    std::function<void(const reach_report&)> on_reach = [](const reach_report&) {};
    /** The requests that end upstreams to report, at most so many. */
    std::function<std::vector<quarantine_report>(std::size_t max_reports)> quarantine =
        [](std::size_t) { return std::vector<quarantine_report>{}; };
    /** The VM at an address reports such a request. */
    std::function<void(const quarantine_message&, const std::string& sender)> on_quarantine =
        [](const quarantine_message&, const std::string&) {};
    /** The roll-outs to report, at most so many. */
    std::function<std::vector<rollout_report>(std::size_t max_reports)> rollouts = [](std::size_t) {
        return std::vector<rollout_report>{};
    };
    /** Another VM reports a roll-out. */
    std::function<void(const rollout_report&)> on_rollout = [](const rollout_report&) {};
    /** Number of VMs among which this one divides quotas. */
    std::function<std::size_t()> quota_vms = [] { return std::size_t{0}; };
    /** Another VM divides quotas among so many. @return silent VMs that it should know of. */
    std::function<std::vector<silent_vm>(std::size_t vms)> on_quota_vms = [](std::size_t) {
        return std::vector<silent_vm>{};
    };
    /** Another VM tells of silent VMs. */
    std::function<void(const std::vector<silent_vm>&)> on_silent =
        [](const std::vector<silent_vm>&) {};
    /** The VM at an address asks for tokens, or answers. */
    std::function<void(const quota_ask&, const std::string& sender)> on_quota_ask =
        [](const quota_ask&, const std::string&) {};
    std::function<void(const quota_answer&, const std::string& sender)> on_quota_answer =
        [](const quota_answer&, const std::string&) {};
};

/**
 * Each period a VM sends the entries it knows to a few random other VMs, and also to the seeds
 * while it knows few VMs. A change so reaches all VMs in a number of periods that grows with the
 * logarithm of the fleet's size, while the cost for each VM does not grow with it.
 */
class member_gossip {
public:
    member_gossip(asio::io_context& io, member_table& table, store_revision_tracker& revisions,
                  milliseconds period, random_engine& random, gossip_callbacks callbacks);

    /** Opens the UDP port. @throws listen_failed */
    void open(const std::string& address, std::uint16_t port);
    /** @param seeds addresses to contact while few VMs are known; they may be wrong or down. */
    void set_seeds(std::vector<std::string> seeds) { seeds_ = std::move(seeds); }
    /** Sends one heartbeat to @p address, unless it is this VM's own. */
    void send_heartbeat_to(const std::string& address);
    /** Sends this VM's own entry to all VMs that are alive; used when this VM starts to leave. */
    void broadcast_self();
    /** Sends a report of a request that ends upstreams at once. */
    void send_quarantine(const quarantine_message& message, const std::vector<std::string>& to);
    /** Sends a report of a roll-out at once. */
    void send_rollout(const rollout_report& report, const std::vector<std::string>& to);
    /** Sends a message about tokens. A VM of an earlier release takes it for a heartbeat. */
    void send_quota_ask(const quota_ask& ask, const std::string& to);
    void send_quota_answer(const quota_answer& answer, const std::string& to);
    /** Run until the io context stops. */
    task<> send_heartbeats();
    task<> receive_heartbeats();

private:
    static constexpr std::size_t max_datagram = 65'536;

    void send_encoded(const std::string& address);
    /** A heartbeat that carries @p entries. */
    [[nodiscard]] heartbeat make_heartbeat(std::vector<member_entry> entries) const;
    /** The shortest heartbeat that may carry something to another VM. */
    [[nodiscard]] heartbeat make_carrier() const;
    /** A heartbeat with what this VM knows of others. */
    [[nodiscard]] std::string encode_known(local_time now) const;
    void handle_heartbeat(const heartbeat& received, const std::string& sender);
    void handle_quotas(const heartbeat& received, const std::string& sender);

    member_table& table_;
    store_revision_tracker& revisions_;
    milliseconds period_;
    random_engine& random_;
    gossip_callbacks callbacks_;
    asio::ip::udp::socket socket_;
    std::vector<std::string> seeds_;
    std::uint16_t port_ = 0;
    std::string encoded_;
};

} // namespace sniperock

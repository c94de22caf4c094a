/** @file dispatch_context.hpp What the services of one dispatcher share, and what a decision
 * causes. */
#pragma once

#include "dispatch_type.hpp"
#include "ownership_type.hpp"
#include "peer_type.hpp"
#include "server_health.hpp"

#include <array>
#include <atomic>
#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace sniperock {

class metrics;

/** A permit is given back this long after its fence; covers differences between wall clocks. */
inline constexpr milliseconds fence_margin{100};

/**
 * A server must not start a call later than this after its slot was granted, so that nothing new
 * comes from an owner that vanished once this time has passed.
 */
inline constexpr milliseconds longest_start{2'000};

/** Limits of a dispatcher. */
struct dispatch_limits {
    /** Waiting calls per service. */
    std::size_t queue_limit = 1000;
    /** Name of the balancing policy. */
    std::string policy = "owner";
    /** Seed of random choices. */
    std::uint64_t seed = 1;
};

/** The vm that a dispatcher runs on. */
struct dispatch_identity {
    peer_identity self;
    std::string failure_domain;
};

/** Both times of one decision. */
struct moment {
    local_time now;
    wall_time wall;
};

/** Shared by the services of one dispatcher; the atomics change from any thread. */
struct dispatch_context {
    dispatch_identity identity;
    dispatch_limits limits;
    /** May be null. */
    metrics* measured = nullptr;
    /** Nothing is granted on owned servers at or after this. */
    std::atomic<local_time> lease_until{local_time::max()};
    std::atomic<std::uint64_t> next_permit{1};
    std::atomic<std::uint64_t> next_request{1};
};

/** A message that a decision causes. */
struct outbound_message {
    std::string vm;
    peer_message_kind kind{};
    std::string payload;
};

/** What is to be done after a service's lock was let go. */
struct dispatch_effects {
    std::vector<std::pair<grant_handler, grant_result>> answers;
    std::vector<outbound_message> messages;
};

/** Counts of one service since start; read under its lock. */
struct service_counts {
    std::uint64_t granted_here = 0;
    std::uint64_t granted_to_peers = 0;
    std::uint64_t asked = 0;
    std::uint64_t asks_lost = 0;
    std::uint64_t late_replies = 0;
    std::uint64_t expired_permits = 0;
    std::uint64_t cold_cuts = 0;
    std::uint64_t suspensions = 0;
    std::uint64_t probes = 0;
    std::array<std::uint64_t, enum_names<refusal_reason>.size()> refused{};
};

/** State of one owned server, for the pages. */
struct server_status {
    std::string name;
    std::uint32_t in_flight = 0;
    std::uint32_t limit = 0;
    std::uint32_t slots = 0;
    server_standing standing = server_standing::usable;
};

/** Counts of one service, for the pages. */
struct service_status {
    std::string service;
    std::size_t owned_servers = 0;
    std::size_t slots = 0;
    std::size_t in_flight = 0;
    std::size_t waiting = 0;
    std::map<std::string, std::size_t> waiting_by_plan;
    /** Sum of the limits of the servers that take new work. */
    std::size_t limit = 0;
    service_counts counts;
    std::vector<server_status> servers;
};

} // namespace sniperock

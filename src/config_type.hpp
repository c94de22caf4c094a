/** @file config_type.hpp The operators' lists as plain values. */
#pragma once

#include "enum_table.hpp"
#include "strong_id.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace sniperock {

/** A customer's plan. */
struct plan {
    std::string name;
    /** SHA-256 of each accepted key, in lower-case hex; the keys themselves are never stored. */
    std::vector<std::string> key_hashes;
};

/** What one plan may use of one service. */
struct allowance {
    std::string plan;
    std::string service;
    /** Share of the service under contention, against the other plans' weights; from 1. */
    std::uint32_t weight = 1;
    /** Calls in flight over the whole system; 0 is unlimited. */
    std::uint32_t max_in_flight = 0;
    /** Calls a second over the whole system; 0 is unlimited. */
    std::uint32_t max_rate = 0;
};

/** One server, an instance of a service. */
struct server_entry {
    /** Unique within its service. */
    std::string name;
    std::string address;
    std::uint16_t port = 0;
    std::string failure_domain;
    /** Calls that it runs at a time when warm; from 1. */
    std::uint32_t slots = 1;
    /** Calls that it bears at a time while cold; from 1. */
    std::uint32_t cold_slots = 1;
};

/** A service and its servers. */
struct service_entry {
    std::string name;
    /** Host names that lead to it. */
    std::vector<std::string> hosts;
    /** Path prefix that leads to it, where the host decides nothing; may be empty. */
    std::string path_prefix;
    /** Active probes a second over all its servers and all entry vms. */
    std::uint32_t probe_rate = 1;
    std::vector<server_entry> servers;
};

/** What operators have taken out of service. */
struct availability {
    std::set<std::string> domains_out;
    std::set<std::string> vms_out;
};

/** What a key of the administration API may do; each role includes those before it. */
enum class admin_role { read, operate, administer };

template <>
inline constexpr std::array enum_names<admin_role>{
    enum_name<admin_role>{admin_role::read, "read"},
    enum_name<admin_role>{admin_role::operate, "operate"},
    enum_name<admin_role>{admin_role::administer, "administer"},
};

/** An operator, known by keys. */
struct admin_entry {
    std::string name;
    admin_role role = admin_role::read;
    /** SHA-256 of each accepted key, in lower-case hex; several during a rotation. */
    std::vector<std::string> key_hashes;
};

/** One accepted revision of the whole configuration; never changed once made. */
struct config_snapshot {
    config_revision revision;
    std::vector<plan> plans;
    std::vector<allowance> allowances;
    std::vector<service_entry> services;
    /** In force: recorded changes and those not recorded yet. */
    availability out;
    std::vector<admin_entry> admins;
    /** Number of changes in @ref out that the store does not hold yet. */
    std::size_t unrecorded = 0;
};

/** Names one server in the whole system: service and server name. */
struct server_key {
    std::string service;
    std::string server;

    friend auto operator<=>(const server_key&, const server_key&) = default;
};

} // namespace sniperock

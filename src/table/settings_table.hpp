/** @file settings_table.hpp The table of all settings: name, type, unit, default, range and text.
 */
#pragma once

#include "../settings_type.hpp"

#include <array>
#include <limits>

namespace sniperock {

inline constexpr std::int64_t port_max = 65'535;
inline constexpr std::int64_t day_ms = 86'400'000;

/** Every setting of an entry process; parsing, checking and listing read this table. */
inline constexpr std::array settings_table{
    // Identity.
    setting_descriptor{"vm", "name", &entry_settings::vm_name, "", "", 1, 64,
                       setting_flag::required, "Name of this vm, unique in the fleet"},
    setting_descriptor{"vm", "failure_domain", &entry_settings::failure_domain, "", "", 1, 64,
                       setting_flag::required, "Failure domain that this vm stands in"},
    setting_descriptor{"vm", "cell", &entry_settings::cell, "", "main", 1, 64,
                       setting_flag::optional, "Ownership cell; the vms of a cell share one epoch"},
    // Addresses.
    setting_descriptor{"callers", "address", &entry_settings::caller_address, "IP", "127.0.0.1", 1,
                       64, setting_flag::optional, "Address that callers connect to"},
    setting_descriptor{"callers", "port", &entry_settings::caller_port, "port", "7000", 0, port_max,
                       setting_flag::optional, "Port that callers connect to; 0 takes a free one"},
    setting_descriptor{"admin", "address", &entry_settings::admin_address, "IP", "127.0.0.1", 1, 64,
                       setting_flag::optional, "Address of the administration API and the pages"},
    setting_descriptor{"admin", "port", &entry_settings::admin_port, "port", "7001", 0, port_max,
                       setting_flag::optional,
                       "Port of the administration API; 0 takes a free one"},
    setting_descriptor{"peers", "address", &entry_settings::peer_address, "IP", "127.0.0.1", 1, 64,
                       setting_flag::optional, "Address that other entry vms connect to"},
    setting_descriptor{"peers", "port", &entry_settings::peer_port, "port", "7002", 0, port_max,
                       setting_flag::optional, "Port that other entry vms connect to"},
    setting_descriptor{"peers", "key_file", &entry_settings::peer_key_file, "path", "", 0, 4096,
                       setting_flag::optional,
                       "File with the keys that authenticate peer messages"},
    setting_descriptor{"peers", "insecure", &entry_settings::peers_insecure, "", "0", 0, 1,
                       setting_flag::optional,
                       "1 runs without a key file; anyone who reaches the port may join"},
    // Store.
    setting_descriptor{"store", "address", &entry_settings::store_address, "IP", "127.0.0.1", 1, 64,
                       setting_flag::optional, "Address of the platform's object store"},
    setting_descriptor{"store", "port", &entry_settings::store_port, "port", "7100", 1, port_max,
                       setting_flag::optional, "Port of the platform's object store"},
    setting_descriptor{"store", "timeout", &entry_settings::store_timeout, "ms", "1000", 10, 60'000,
                       setting_flag::optional, "Longest wait for one store call, watches excepted"},
    setting_descriptor{"store", "watch", &entry_settings::store_watch, "ms", "10000", 100, 300'000,
                       setting_flag::optional, "How long one watch call waits for a change"},
    setting_descriptor{"store", "rate", &entry_settings::store_rate, "calls/s", "20", 1, 10'000,
                       setting_flag::optional,
                       "Calls a second to the store, watches counted, in the long run"},
    setting_descriptor{"store", "burst", &entry_settings::store_burst, "calls", "1000", 10, 100'000,
                       setting_flag::optional, "Calls to the store at once after a rest"},
    // Configuration.
    setting_descriptor{"config", "watchers", &entry_settings::config_watchers, "vms", "3", 1, 1000,
                       setting_flag::optional,
                       "Vms of a cell that watch the store; the others hear from them"},
    setting_descriptor{"admin", "first_key_sha256", &entry_settings::admin_first_key_hash, "", "",
                       0, 64, setting_flag::optional,
                       "SHA-256 in hex of the key that is valid until operators are listed"},
    // Callers' connections.
    setting_descriptor{"callers", "threads", &entry_settings::threads, "threads", "2", 1, 64,
                       setting_flag::optional, "Threads that serve callers"},
    setting_descriptor{"callers", "max_connections", &entry_settings::max_connections,
                       "connections", "10000", 1, 1'000'000, setting_flag::optional,
                       "Open caller connections; more are refused with 503"},
    setting_descriptor{"callers", "max_header", &entry_settings::max_header_bytes, "bytes", "16384",
                       1024, 1'048'576, setting_flag::optional, "Longest request head"},
    setting_descriptor{"callers", "header_timeout", &entry_settings::header_timeout, "ms", "10000",
                       10, day_ms, setting_flag::optional,
                       "Time a caller has to send a whole head"},
    setting_descriptor{"callers", "idle_timeout", &entry_settings::idle_timeout, "ms", "60000", 10,
                       day_ms, setting_flag::optional, "Time a connection may stay idle"},
    setting_descriptor{"callers", "default_deadline", &entry_settings::default_deadline, "ms",
                       "10000", 1, day_ms, setting_flag::optional,
                       "Deadline of a call that states none"},
    setting_descriptor{"callers", "locate_keep", &entry_settings::locate_keep, "ms", "5000", 100,
                       day_ms, setting_flag::optional,
                       "How long callers keep a locate answer, before jitter"},
    // Ownership.
    setting_descriptor{"ownership", "owners_per_domain", &entry_settings::owners_per_domain, "vms",
                       "1", 1, 1000, setting_flag::optional,
                       "Entry vms that share one service's servers in a failure domain"},
    setting_descriptor{"ownership", "term", &entry_settings::ownership_term, "ms", "1000", 30,
                       day_ms, setting_flag::optional,
                       "Length of a lease; at least three heartbeats"},
    setting_descriptor{"ownership", "margin", &entry_settings::ownership_margin, "ms", "30", 0,
                       day_ms, setting_flag::optional,
                       "Wait for another's lease beyond a term and 2% of drift"},
    setting_descriptor{
        "ownership", "permit_life", &entry_settings::ownership_permit_life, "ms", "30000", 1,
        day_ms, setting_flag::optional,
        "Longest deadline of a call, and how long a lost owner's permits may be used"},
    // Members.
    setting_descriptor{"members", "heartbeat", &entry_settings::member_heartbeat, "ms", "200", 10,
                       60'000, setting_flag::optional, "Between two heartbeats to one vm"},
    setting_descriptor{"members", "suspicion", &entry_settings::member_suspicion, "ms", "1000", 30,
                       day_ms, setting_flag::optional,
                       "Silence that makes a vm suspect; at least three heartbeats"},
    setting_descriptor{"members", "join_window", &entry_settings::member_join_window, "ms", "500",
                       0, day_ms, setting_flag::optional,
                       "How long joining vms are collected into one epoch"},
    setting_descriptor{"members", "hold_down", &entry_settings::member_hold_down, "ms", "10000", 0,
                       day_ms, setting_flag::optional,
                       "A vm dropped for silence may not join again for so long"},
    setting_descriptor{"members", "list_lag", &entry_settings::member_list_lag, "ms", "10000", 0,
                       day_ms, setting_flag::optional,
                       "Longest time by which the platform's list of vms lags"},
    setting_descriptor{"members", "list_period", &entry_settings::member_list_period, "ms", "2000",
                       50, day_ms, setting_flag::optional,
                       "Between two readings of the platform's list of vms"},
    setting_descriptor{"members", "leave_bound", &entry_settings::member_leave_bound, "ms", "30000",
                       0, day_ms, setting_flag::optional,
                       "Longest graceful stop; what is left then is cut off"},
    // Scheduling.
    setting_descriptor{"schedule", "policy", &entry_settings::policy, "", "owner", 1, 64,
                       setting_flag::optional, "Balancing policy; see sniperock settings"},
    setting_descriptor{"schedule", "queue_limit", &entry_settings::queue_limit, "calls", "1000", 0,
                       1'000'000, setting_flag::optional, "Waiting calls per service"},
};

} // namespace sniperock

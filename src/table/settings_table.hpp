/** @file settings_table.hpp The table of all settings: name, type, unit, default, range and text.
 */
#pragma once

#include "../settings_type.hpp"

#include <array>

namespace sniperock {

inline constexpr std::int64_t port_max = 65'535;
inline constexpr std::int64_t day_ms = 86'400'000;
inline constexpr std::int64_t name_max = 128;

/** Every setting of an entry process; parsing, checking and listing read this table. */
inline constexpr std::array settings_table{
    // Identity.
    setting_descriptor{"vm", "name", &entry_settings::vm_name, "", "", 1, name_max,
                       setting_flag::required, "Name of this VM, unique in the fleet"},
    setting_descriptor{"vm", "failure_domain", &entry_settings::failure_domain, "", "", 1, name_max,
                       setting_flag::required, "Failure domain that this VM stands in"},
    setting_descriptor{"vm", "region", &entry_settings::region, "", "", 0, name_max,
                       setting_flag::optional, "Region of the failure domain"},
    // Addresses.
    setting_descriptor{"callers", "listen", &entry_settings::callers_listen, endpoint_unit,
                       "127.0.0.1:7000", 1, 64, setting_flag::optional,
                       "Where callers connect; port 0 takes a free one, here and below"},
    setting_descriptor{"pages", "ready", &entry_settings::ready_listen, endpoint_unit,
                       "127.0.0.1:7001", 1, 64, setting_flag::optional, "The readiness page"},
    setting_descriptor{"pages", "directory", &entry_settings::directory_listen, endpoint_unit,
                       "127.0.0.1:7002", 1, 64, setting_flag::optional,
                       "Where callers ask which addresses to connect to"},
    setting_descriptor{"pages", "metrics_port", &entry_settings::metrics_port, "port", "7003", 0,
                       port_max, setting_flag::optional,
                       "Port of the metrics page, on the address of callers.listen"},
    // Members.
    setting_descriptor{
        "members", "port", &entry_settings::peer_port, "port", "7004", 0, port_max,
        setting_flag::optional,
        "UDP port of heartbeats, the same on all VMs, on the address of callers.listen"},
    setting_descriptor{"members", "seeds", &entry_settings::peer_seeds, "IP list", "", 0, 180,
                       setting_flag::optional,
                       "Addresses of VMs to greet first, separated by commas; a port is ignored"},
    setting_descriptor{"members", "heartbeat", &entry_settings::member_heartbeat, "ms", "500", 10,
                       60'000, setting_flag::optional, "Between two rounds of heartbeats"},
    setting_descriptor{"members", "silence", &entry_settings::member_silence, "ms", "2500", 30,
                       day_ms, setting_flag::optional,
                       "A VM not heard of for so long is left out of directory answers"},
    // Store.
    setting_descriptor{"store", "address", &entry_settings::store_address, endpoint_unit,
                       "127.0.0.1:7100", 1, 64, setting_flag::optional,
                       "The platform's object store"},
    setting_descriptor{"store", "timeout", &entry_settings::store_timeout, "ms", "1500", 10, 60'000,
                       setting_flag::optional, "Longest wait for one store call, watches excepted"},
    setting_descriptor{"store", "watch", &entry_settings::store_watch, "ms", "29000", 100, 30'000,
                       setting_flag::optional, "How long one watch call waits for a change"},
    setting_descriptor{"store", "pulse", &entry_settings::store_pulse, "ms", "2000", 100, 60'000,
                       setting_flag::optional,
                       "The store is asked for a sign of life when it was not heard of for so "
                       "long; watches that wait begin again when it gives none"},
    setting_descriptor{
        "store", "drain_limit", &entry_settings::store_drain_limit, "ms", "2000", 0, 60'000,
        setting_flag::optional,
        "An upstream gets nothing more so long after it announced its leaving; changes are "
        "gathered for a part of it, to save calls"},
    setting_descriptor{"store", "return_grace", &entry_settings::store_return_grace, "ms", "2000",
                       0, 60'000, setting_flag::optional,
                       "How long entries that lapsed in an outage are kept after it"},
    // Callers' connections.
    setting_descriptor{"callers", "max_connections", &entry_settings::max_connections,
                       "connections", "2500", 1, 1'000'000, setting_flag::optional,
                       "Open caller connections; more are closed at once"},
    setting_descriptor{"callers", "body_memory", &entry_settings::body_memory, "bytes", "33554432",
                       65'536, 1LL << 40, setting_flag::optional,
                       "Memory for request bodies that are being read; more are refused"},
    setting_descriptor{"callers", "default_deadline", &entry_settings::default_deadline, "ms",
                       "10000", 1, day_ms, setting_flag::optional,
                       "Deadline of a request that states none"},
    setting_descriptor{"callers", "directory_ttl", &entry_settings::directory_ttl, "ms", "2000",
                       100, day_ms, setting_flag::optional,
                       "How long callers may keep a directory answer"},
    setting_descriptor{"callers", "stop_grace", &entry_settings::stop_grace, "ms", "6000", 0,
                       day_ms, setting_flag::optional,
                       "The process may be killed so long after it was told to stop"},
    // Choosing an upstream.
    setting_descriptor{"choice", "policy", &entry_settings::policy, "", "fresh-probes", 1, 64,
                       setting_flag::optional,
                       "fresh-probes, round-robin, fewest-requests or two-reports"},
    setting_descriptor{"choice", "probes", &entry_settings::probe_count, "probes", "5", 1, 64,
                       setting_flag::optional, "Upstreams probed for one request"},
    setting_descriptor{"choice", "subset", &entry_settings::subset, "upstreams", "30", 1, 100'000,
                       setting_flag::optional,
                       "Upstreams of one service that this VM works with; all VMs use all"},
    setting_descriptor{"choice", "probe_timeout", &entry_settings::probe_timeout, "ms", "40", 1,
                       60'000, setting_flag::optional,
                       "Longest wait for a probe before the choice is made without it"},
    setting_descriptor{"choice", "probe_fresh", &entry_settings::probe_fresh, "ms", "10", 0, 60'000,
                       setting_flag::optional,
                       "A report this young is used for another request too"},
    setting_descriptor{"choice", "probe_rate", &entry_settings::probe_rate, "probes/s", "60", 1,
                       1'000'000, setting_flag::optional,
                       "Most probes an upstream gets each second from the whole fleet"},
    setting_descriptor{"choice", "wait_share", &entry_settings::wait_share, "of the target", "0.12",
                       0, 10, setting_flag::optional,
                       "How long a request waits here for a free slot"},
    setting_descriptor{"choice", "search_share", &entry_settings::search_share, "of the target",
                       "0.35", 0, 10, setting_flag::optional,
                       "How long a request looks on while only slowed upstreams are free"},
    // Second tries.
    setting_descriptor{"retries", "ratio", &entry_settings::retry_ratio, "per request", "0.2", 0,
                       10, setting_flag::optional,
                       "Repeats that the fleet may send in a window, for each request"},
    setting_descriptor{"retries", "slack", &entry_settings::retry_slack, "repeats", "20", 0,
                       1'000'000, setting_flag::optional,
                       "Repeats of a service that the fleet may send beyond the ratio"},
    setting_descriptor{"retries", "window", &entry_settings::retry_window, "ms", "10000", 100,
                       day_ms, setting_flag::optional, "Window in which repeats are counted"},
    // Cold upstreams.
    setting_descriptor{"cold", "overshoot", &entry_settings::cold_overshoot, "times", "1.5", 1, 100,
                       setting_flag::optional,
                       "A cold upstream bears its stated rate times this, plus the slack"},
    setting_descriptor{"cold", "slack", &entry_settings::cold_slack, "requests/s", "5", 0,
                       1'000'000, setting_flag::optional, "See cold.overshoot"},
    // Logs.
    setting_descriptor{"log", "buffer", &entry_settings::log_buffer, "bytes", "131072", 4096,
                       1LL << 30, setting_flag::optional,
                       "Lines that wait to be written; more are dropped and counted"},
    setting_descriptor{"log", "rate", &entry_settings::log_rate, "lines/s", "50", 1, 1'000'000,
                       setting_flag::optional,
                       "Lines a second about requests that did not go well"},
    setting_descriptor{"log", "sample", &entry_settings::log_sample, "of requests", "0.02", 0, 1,
                       setting_flag::optional,
                       "Share of requests, by their id, that are logged although they went well"},
};

} // namespace sniperock

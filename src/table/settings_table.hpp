/** @file settings_table.hpp The table of all settings: name, type, unit, default, range and text.
 */
#pragma once

#include "../settings_type.hpp"

#include <array>

namespace sniperock {

inline constexpr std::int64_t port_max = 65'535;
inline constexpr std::int64_t day_ms = 86'400'000;
inline constexpr std::int64_t name_max = 128;

/** All settings of an entry process; parsing, validation and listing are driven by this table. */
inline constexpr std::array settings_table{
    // Identity.
    setting_descriptor{"vm", "name", &entry_settings::vm_name, "", "", 1, name_max,
                       setting_flag::required, "Name of this VM, unique in the fleet"},
    setting_descriptor{"vm", "failure_domain", &entry_settings::failure_domain, "", "", 1, name_max,
                       setting_flag::required, "Failure domain that this VM is located in"},
    setting_descriptor{"vm", "region", &entry_settings::region, "", "", 0, name_max,
                       setting_flag::optional, "Region of the failure domain"},
    // Addresses.
    setting_descriptor{
        "callers", "listen", &entry_settings::callers_listen, endpoint_unit, "127.0.0.1:7000", 1,
        64, setting_flag::optional,
        "Address on which callers connect; port 0 selects a free one, here and below"},
    setting_descriptor{"pages", "ready", &entry_settings::ready_listen, endpoint_unit,
                       "127.0.0.1:7001", 1, 64, setting_flag::optional,
                       "Address of the readiness page"},
    setting_descriptor{"pages", "directory", &entry_settings::directory_listen, endpoint_unit,
                       "127.0.0.1:7002", 1, 64, setting_flag::optional,
                       "Address of the page where callers query which addresses to connect to"},
    setting_descriptor{"pages", "metrics_port", &entry_settings::metrics_port, "port", "7003", 0,
                       port_max, setting_flag::optional,
                       "Port of the metrics page, on the address of callers.listen"},
    // Members.
    setting_descriptor{
        "members", "port", &entry_settings::peer_port, "port", "7004", 0, port_max,
        setting_flag::optional,
        "UDP port of heartbeats, the same on all VMs, on the address of callers.listen"},
    setting_descriptor{
        "members", "seeds", &entry_settings::peer_seeds, "IP list", "", 0, 180,
        setting_flag::optional,
        "Addresses of the VMs to contact first, separated by commas; a port is ignored"},
    setting_descriptor{"members", "heartbeat", &entry_settings::member_heartbeat, "ms", "500", 10,
                       60'000, setting_flag::optional, "Interval between two rounds of heartbeats"},
    setting_descriptor{"members", "silence", &entry_settings::member_silence, "ms", "2500", 30,
                       day_ms, setting_flag::optional,
                       "A VM not heard from for this time is left out of directory answers"},
    // Store.
    setting_descriptor{"store", "address", &entry_settings::store_address, endpoint_unit,
                       "127.0.0.1:7100", 1, 64, setting_flag::optional,
                       "Address of the platform's object store"},
    setting_descriptor{"store", "timeout", &entry_settings::store_timeout, "ms", "1500", 10, 60'000,
                       setting_flag::optional, "Timeout of one store call, except watches"},
    setting_descriptor{"store", "watch", &entry_settings::store_watch, "ms", "29000", 100, 30'000,
                       setting_flag::optional, "Time that one watch call waits for a change"},
    setting_descriptor{"store", "history", &entry_settings::store_history, "ms", "20000", 100,
                       day_ms, setting_flag::optional,
                       "Time for which the store keeps its history; watches end before it, since a "
                       "watch whose history is gone costs a new listing"},
    setting_descriptor{"store", "pulse", &entry_settings::store_pulse, "ms", "2000", 100, 60'000,
                       setting_flag::optional,
                       "The store is probed when it has not been heard from for this time (five "
                       "times as long by a VM that follows others); if the probe fails, pending "
                       "watches are restarted"},
    setting_descriptor{"store", "drain_limit", &entry_settings::store_drain_limit, "ms", "2000", 0,
                       60'000, setting_flag::optional,
                       "Time after which an upstream that announced that it is leaving receives no "
                       "more requests; changes are batched for a fraction of it, to save calls"},
    setting_descriptor{"store", "return_grace", &entry_settings::store_return_grace, "ms", "2000",
                       0, 60'000, setting_flag::optional,
                       "Time that entries which expired in a store outage are kept after it"},
    // Callers' connections.
    setting_descriptor{"callers", "max_connections", &entry_settings::max_connections,
                       "connections", "2500", 1, 1'000'000, setting_flag::optional,
                       "Limit of open caller connections; further ones are closed at once"},
    setting_descriptor{"callers", "body_memory", &entry_settings::body_memory, "bytes", "33554432",
                       65'536, 1LL << 40, setting_flag::optional,
                       "Memory limit of request bodies being read; requests beyond it are refused"},
    setting_descriptor{"callers", "default_deadline", &entry_settings::default_deadline, "ms",
                       "10000", 1, day_ms, setting_flag::optional,
                       "Deadline of a request that specifies none"},
    setting_descriptor{"callers", "directory_ttl", &entry_settings::directory_ttl, "ms", "2000",
                       100, day_ms, setting_flag::optional,
                       "Time that callers may cache a directory answer"},
    setting_descriptor{"callers", "stop_grace", &entry_settings::stop_grace, "ms", "6000", 0,
                       day_ms, setting_flag::optional,
                       "Time after the stop signal at which the process may be killed"},
    // Choosing an upstream.
    setting_descriptor{"choice", "policy", &entry_settings::policy, "", "fresh-probes", 1, 64,
                       setting_flag::optional,
                       "fresh-probes, round-robin, fewest-requests or two-reports"},
    setting_descriptor{"choice", "probes", &entry_settings::probe_count, "probes", "5", 1, 64,
                       setting_flag::optional, "Number of upstreams probed for one request"},
    setting_descriptor{"choice", "subset", &entry_settings::subset, "upstreams", "30", 1, 100'000,
                       setting_flag::optional,
                       "Upstreams of one service that this VM uses; all VMs together use all"},
    setting_descriptor{"choice", "probe_timeout", &entry_settings::probe_timeout, "ms", "40", 1,
                       60'000, setting_flag::optional,
                       "Timeout of a probe, after which the choice is made without it"},
    setting_descriptor{"choice", "probe_fresh", &entry_settings::probe_fresh, "ms", "10", 0, 60'000,
                       setting_flag::optional,
                       "Maximum age of a report that is reused for another request"},
    setting_descriptor{"choice", "probe_rate", &entry_settings::probe_rate, "probes/s", "60", 1,
                       1'000'000, setting_flag::optional,
                       "Maximum probes that an upstream receives per second from the whole fleet"},
    setting_descriptor{"choice", "wait_share", &entry_settings::wait_share, "of the target", "0.12",
                       0, 10, setting_flag::optional,
                       "Time that a request waits on this VM for a free slot"},
    setting_descriptor{
        "choice", "search_share", &entry_settings::search_share, "of the target", "0.35", 0, 10,
        setting_flag::optional,
        "Time that a request looks for another upstream while only slowed ones are free"},
    setting_descriptor{"choice", "prefer_home", &entry_settings::prefer_home, "0 or 1", "1", 0, 1,
                       setting_flag::optional,
                       "1: requests leave the failure domain only if they gain; 0: upstreams are "
                       "sampled everywhere alike"},
    setting_descriptor{"choice", "cross_domain_ms", &entry_settings::cross_domain_ms,
                       "ms/1000 bytes", "2", 0, 100'000, setting_flag::optional,
                       "Added latency accepted to keep 1,000 bytes within the failure domain"},
    // Retries.
    setting_descriptor{"retries", "ratio", &entry_settings::retry_ratio, "per request", "0.2", 0,
                       10, setting_flag::optional,
                       "Retries that the fleet may send in a window, per request"},
    setting_descriptor{"retries", "slack", &entry_settings::retry_slack, "repeats", "20", 0,
                       1'000'000, setting_flag::optional,
                       "Retries of a service that the fleet may send in addition to the ratio"},
    setting_descriptor{"retries", "window", &entry_settings::retry_window, "ms", "10000", 100,
                       day_ms, setting_flag::optional, "Window in which retries are counted"},
    // Requests that end upstreams.
    setting_descriptor{"quarantine", "crashes", &entry_settings::quarantine_crashes, "upstreams",
                       "3", 0, 16, setting_flag::optional,
                       "Upstreams that end while they run a request before it is refused; 0 never"},
    setting_descriptor{"quarantine", "time", &entry_settings::quarantine_time, "ms", "30000", 1,
                       600'000, setting_flag::optional,
                       "Time for which it is refused; doubled after each trial that fails"},
    // Roll-outs.
    setting_descriptor{"rollouts", "share", &entry_settings::rollout_share, "of requests", "0", 0,
                       1, setting_flag::optional,
                       "Largest share of a service's requests that a new version gets before it is "
                       "known to be good; 0 if there are no roll-outs"},
    // Cold upstreams.
    setting_descriptor{"cold", "overshoot", &entry_settings::cold_overshoot, "times", "1.5", 1, 100,
                       setting_flag::optional,
                       "A cold upstream receives up to its stated rate times this, plus the slack"},
    setting_descriptor{"cold", "slack", &entry_settings::cold_slack, "requests/s", "5", 0,
                       1'000'000, setting_flag::optional, "See cold.overshoot"},
    // Quotas of accounts.
    setting_descriptor{"quotas", "window", &entry_settings::quota_window, "ms", "0", 0, day_ms,
                       setting_flag::optional,
                       "Window in which an account's requests are counted; 0 for no quotas"},
    setting_descriptor{"quotas", "overshoot", &entry_settings::quota_overshoot, "of the quota", "0",
                       0, 100, setting_flag::optional,
                       "Part of its quota by which an account may exceed it in a window"},
    setting_descriptor{"quotas", "slack", &entry_settings::quota_slack, "requests", "0", 0,
                       1'000'000, setting_flag::optional,
                       "Requests that an account may send in a window in addition to that"},
    // Logs.
    setting_descriptor{
        "log", "buffer", &entry_settings::log_buffer, "bytes", "131072", 4096, 1LL << 30,
        setting_flag::optional,
        "Limit of the lines waiting to be written; further lines are dropped and counted"},
    setting_descriptor{"log", "rate", &entry_settings::log_rate, "lines/s", "50", 1, 1'000'000,
                       setting_flag::optional,
                       "Limit of the lines per second about calls, upstreams and members"},
    setting_descriptor{"log", "sample", &entry_settings::log_sample, "of requests", "0.02", 0, 1,
                       setting_flag::optional,
                       "Share of the successful requests that is logged, selected by their id"},
};

} // namespace sniperock

/** @file settings_type.hpp The settings of an entry process and the descriptors they are parsed by.
 */
#pragma once

#include "clock_type.hpp"
#include "finding_type.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace sniperock {

/** All values that an entry process reads from its INI file; table/settings_table.hpp holds the
 * defaults. */
struct entry_settings {
    std::string vm_name;
    std::string failure_domain;
    std::string region;
    std::string callers_listen;
    std::string ready_listen;
    std::string directory_listen;
    std::int64_t metrics_port{};
    std::int64_t peer_port{};
    std::string peer_seeds;
    std::string store_address;
    milliseconds store_timeout{};
    milliseconds store_watch{};
    milliseconds store_history{};
    milliseconds store_pulse{};
    milliseconds store_drain_limit{};
    milliseconds store_return_grace{};
    std::int64_t max_connections{};
    std::int64_t body_memory{};
    milliseconds default_deadline{};
    milliseconds directory_ttl{};
    milliseconds stop_grace{};
    std::string policy;
    std::int64_t probe_count{};
    std::int64_t subset{};
    milliseconds probe_timeout{};
    milliseconds probe_fresh{};
    double probe_rate{};
    double wait_share{};
    double search_share{};
    std::int64_t prefer_home{};
    double cross_domain_ms{};
    double retry_ratio{};
    double retry_slack{};
    milliseconds retry_window{};
    std::int64_t quarantine_crashes{};
    milliseconds quarantine_time{};
    double rollout_share{};
    double cold_overshoot{};
    double cold_slack{};
    milliseconds quota_window{};
    double quota_overshoot{};
    double quota_slack{};
    milliseconds member_heartbeat{};
    milliseconds member_silence{};
    std::int64_t log_buffer{};
    std::int64_t log_rate{};
    double log_sample{};

    friend bool operator==(const entry_settings&, const entry_settings&) = default;
};

/** Member that receives the parsed value; the alternative determines the type of the setting. */
using setting_target = std::variant<std::string entry_settings::*, std::int64_t entry_settings::*,
                                    double entry_settings::*, milliseconds entry_settings::*>;

/** Whether a setting must be given. */
enum class setting_flag { optional, required };

/** Unit of settings that consist of an IPv4 address and a port; validated when parsed. */
inline constexpr std::string_view endpoint_unit = "IP:port";

/** One row of the settings table. */
struct setting_descriptor {
    std::string_view section;
    std::string_view name;
    setting_target target;
    std::string_view unit;
    std::string_view default_text;
    std::int64_t min;
    std::int64_t max;
    setting_flag flag;
    std::string_view help;
};

} // namespace sniperock

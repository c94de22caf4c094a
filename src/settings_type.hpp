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

/** Everything an entry process learns from its INI file; defaults stand in
 * table/settings_table.hpp. */
struct entry_settings {
    std::string vm_name;
    std::string failure_domain;
    std::string cell;
    std::string caller_address;
    std::int64_t caller_port{};
    std::string admin_address;
    std::int64_t admin_port{};
    std::string peer_address;
    std::int64_t peer_port{};
    std::string peer_key_file;
    std::int64_t peers_insecure{};
    std::string store_address;
    std::int64_t store_port{};
    milliseconds store_timeout{};
    milliseconds store_watch{};
    std::int64_t store_rate{};
    std::int64_t store_burst{};
    std::int64_t config_watchers{};
    std::string admin_first_key_hash;
    std::int64_t threads{};
    std::int64_t max_connections{};
    std::int64_t max_header_bytes{};
    milliseconds header_timeout{};
    milliseconds idle_timeout{};
    milliseconds default_deadline{};
    milliseconds locate_keep{};
    std::int64_t owners_per_domain{};
    milliseconds ownership_term{};
    milliseconds ownership_margin{};
    milliseconds ownership_permit_life{};
    milliseconds member_heartbeat{};
    milliseconds member_suspicion{};
    milliseconds member_join_window{};
    milliseconds member_hold_down{};
    milliseconds member_list_lag{};
    milliseconds member_list_period{};
    milliseconds member_leave_bound{};
    std::string policy;
    std::int64_t queue_limit{};
};

/** Where a parsed value goes; its alternative is the setting's type. */
using setting_target = std::variant<std::string entry_settings::*, std::int64_t entry_settings::*,
                                    milliseconds entry_settings::*>;

/** What a setting demands beyond its range. */
enum class setting_flag { optional, required };

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

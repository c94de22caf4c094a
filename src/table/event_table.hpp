/** @file event_table.hpp The table of all log events. */
#pragma once

#include "../event_type.hpp"

#include <array>

namespace sniperock {

/** Every event, by number. */
inline constexpr std::array event_table{
    // 1xx: process.
    event_descriptor{event::entry_started, event_level::info, "process", "entry_started",
                     "An entry process serves its addresses."},
    event_descriptor{event::entry_stopped, event_level::info, "process", "entry_stopped",
                     "An entry process has stopped; the fields say what was cut off."},
    event_descriptor{event::settings_refused, event_level::error, "process", "settings_refused",
                     "The settings file has faults; the process does not start."},
    // 2xx: callers.
    event_descriptor{event::caller_refused, event_level::debug, "callers", "caller_refused",
                     "A request was refused before it reached a server."},
    // 3xx: servers.
    event_descriptor{event::server_failed, event_level::warning, "servers", "server_failed",
                     "A server did not answer, or broke off an answer."},
    event_descriptor{event::server_standing_changed, event_level::info, "servers",
                     "server_standing_changed",
                     "An owned server was suspended, drains, or takes work again."},
    event_descriptor{event::server_limit_cut, event_level::info, "servers", "server_limit_cut",
                     "An owned server showed a sign of cold; its limit was cut."},
    // 4xx: ownership.
    event_descriptor{event::epoch_adopted, event_level::info, "ownership", "epoch_adopted",
                     "This vm adopted a newer ownership epoch."},
    event_descriptor{event::epoch_fenced, event_level::info, "ownership", "epoch_fenced",
                     "No lease of an earlier epoch can run any more."},
    event_descriptor{event::servers_gained, event_level::info, "ownership", "servers_gained",
                     "This vm grants on more servers from now on."},
    event_descriptor{event::servers_given_up, event_level::info, "ownership", "servers_given_up",
                     "This vm stopped granting on servers that another owns now."},
    event_descriptor{event::vm_superseded, event_level::error, "ownership", "vm_superseded",
                     "A newer process of this vm's name was seen; this one grants nothing more."},
    event_descriptor{event::epoch_malformed, event_level::error, "ownership", "epoch_malformed",
                     "The stored epoch object cannot be read; ownership stays as it is."},
    event_descriptor{event::leave_started, event_level::info, "ownership", "leave_started",
                     "This vm leaves: unlisted, its servers are being handed over."},
    event_descriptor{event::leave_ended, event_level::info, "ownership", "leave_ended",
                     "This vm has left; the fields say what was still held or in flight."},
    // 5xx: store.
    event_descriptor{event::store_lost, event_level::warning, "store", "store_lost",
                     "The object store stopped answering."},
    event_descriptor{event::store_back, event_level::info, "store", "store_back",
                     "The object store answers again."},
    // 6xx: configuration.
    event_descriptor{event::config_applied, event_level::info, "config", "config_applied",
                     "A newer configuration revision is in force on this vm."},
    event_descriptor{event::config_refused, event_level::error, "config", "config_refused",
                     "A stored configuration revision has faults; the last good one stays."},
    event_descriptor{event::take_out_unrecorded, event_level::warning, "config",
                     "take_out_unrecorded",
                     "A change of availability holds, and the store has not recorded it yet."},
    event_descriptor{event::take_out_settled, event_level::info, "config", "take_out_settled",
                     "A change of availability that was unrecorded has been recorded, was "
                     "replaced, or is too old to be recorded."},
    // 7xx: peers.
    event_descriptor{event::peer_message_dropped, event_level::warning, "peers",
                     "peer_message_dropped", "A message between entry vms was dropped."},
    // 8xx: administration.
    event_descriptor{event::admin_change, event_level::info, "admin", "admin_change",
                     "An operator asked for a change; the fields say who, what and how it ended."},
    event_descriptor{event::admin_refused, event_level::warning, "admin", "admin_refused",
                     "A request to the administration API had no valid key."},
};

} // namespace sniperock

/** @file event_type.hpp Numbered log events. */
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace sniperock {

/** Number of an event; see table/event_table.hpp for its level, category and text. */
enum class event : std::uint16_t {
    // 1xx: process.
    entry_started = 100,
    entry_stopped = 101,
    settings_refused = 102,
    // 2xx: callers.
    caller_refused = 200,
    // 3xx: servers.
    server_failed = 300,
    server_standing_changed = 310,
    server_limit_cut = 311,
    // 4xx: ownership.
    epoch_adopted = 400,
    epoch_fenced = 401,
    servers_gained = 402,
    servers_given_up = 403,
    vm_superseded = 404,
    epoch_malformed = 405,
    leave_started = 406,
    leave_ended = 407,
    // 5xx: store.
    store_lost = 500,
    store_back = 501,
    // 6xx: configuration.
    config_applied = 600,
    config_refused = 601,
    take_out_unrecorded = 610,
    take_out_settled = 611,
    // 7xx: peers.
    peer_message_dropped = 700,
    // 8xx: administration.
    admin_change = 800,
    admin_refused = 801,
};

/** How much an event matters. */
enum class event_level { debug, info, warning, error };

/** One row of the event table. */
struct event_descriptor {
    event number;
    event_level level;
    std::string_view category;
    std::string_view name;
    std::string_view text;
};

/** A named value logged with an event. */
struct event_field {
    std::string_view name;
    std::string value;
};

/** Writes one event with its fields to the log. */
void log_event(event number, std::initializer_list<event_field> fields = {});

/** Sets the least level that is written, for every category. */
void set_log_level(event_level least);

/** The catalogue of events as a Markdown page. */
std::string event_catalogue();

} // namespace sniperock

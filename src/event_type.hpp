/** @file event_type.hpp Numbered log events. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace sniperock {

/** Number of an event; table/event_table.hpp holds its level, category and text. */
enum class event : std::uint16_t {
    // 1xx: process.
    entry_started = 100,
    entry_leaving = 101,
    entry_stopped = 102,
    settings_refused = 103,
    settings_reloaded = 104,
    process_stood_still = 105,
    entry_outdated = 106,
    entry_current = 107,
    log_lines_dropped = 110,
    port_in_use = 112,
    accept_failed = 120,
    connection_refused = 121,
    // 2xx: calls.
    call_ended = 200,
    call_troubled = 201,
    attempt_failed = 202,
    call_hedged = 203,
    repeat_denied = 204,
    answer_incomplete = 205,
    request_suspected = 210,
    request_quarantined = 211,
    request_tried = 212,
    request_cleared = 213,
    account_unknown = 214,
    account_over_quota = 215,
    // 3xx: upstreams.
    upstream_silent = 300,
    upstream_replaced = 301,
    upstream_back = 302,
    upstream_limited = 303,
    upstream_unlimited = 304,
    reach_changed = 305,
    domain_left = 320,
    domain_kept = 321,
    // 5xx: store.
    store_lost = 500,
    store_back = 501,
    store_history_gone = 502,
    store_entry_refused = 503,
    vm_not_registered = 504,
    store_watch_ended = 505,
    store_call_failed = 506,
    store_unheard = 507,
    store_heard = 508,
    store_change_missed = 509,
    store_role_changed = 510,
    store_restored = 511,
    // 6xx: configuration and registry.
    config_applied = 600,
    config_refused = 601,
    config_kind_unknown = 602,
    config_fields_ignored = 603,
    evacuations_changed = 610,
    registry_listed = 620,
    registry_changed = 621,
    rollout_ordered = 630,
    rollout_changed = 631,
    rollout_judged = 632,
    rollout_written = 633,
    rollout_not_written = 634,
    // 7xx: members.
    members_changed = 700,
    heartbeat_dropped = 701,
};

/** Severity of an event. */
enum class event_level { debug, info, warning, error };

/** One row of the event table. */
struct event_descriptor {
    event number;
    event_level level;
    std::string_view category;
    std::string_view name;
    /** Names of the fields, separated by spaces, in the order written. */
    std::string_view fields;
    std::string_view text;
};

/** A named value logged with an event. */
struct event_field {
    std::string_view name;
    std::string value;
};

/** Writes one event with its fields to the log; never blocks on the reader of the log. */
void log_event(event number, std::initializer_list<event_field> fields = {});

/** Sets the minimum level that is written, for all categories. */
void set_log_level(event_level level);

/** Configuration of the log. */
struct log_setup {
    /** Name of the VM, part of every line. */
    std::string vm;
    /** Maximum bytes of lines waiting to be written. */
    std::size_t buffer = 0;
    /** Maximum lines per second in the categories calls, upstreams and members. */
    std::size_t rate = 0;
};

/** Configures the log; until then defaults apply. */
void set_up_log(const log_setup& setup);
/** Number of lines of this process dropped because of the rate limit or the buffer limit. */
std::uint64_t dropped_log_lines();
/** Writes the pending lines; called at the end of the process. */
void close_log();

/** The catalogue of events as a Markdown page. */
std::string event_catalogue();

} // namespace sniperock

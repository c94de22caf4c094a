/** @file event_table.hpp The table of all log events. */
#pragma once

#include "../event_type.hpp"

#include <array>

namespace sniperock {

/** Every event, by number. */
inline constexpr std::array event_table{
    // 1xx: process.
    event_descriptor{event::entry_started, event_level::info, "process", "entry_started",
                     "version policy callers_port",
                     "An entry process listens on its ports; it is ready once it has read the "
                     "store."},
    event_descriptor{event::entry_leaving, event_level::info, "process", "entry_leaving",
                     "connections busy",
                     "SIGTERM came: not ready any more, left out of directory answers, "
                     "connections close behind their answers."},
    event_descriptor{event::entry_stopped, event_level::info, "process", "entry_stopped", "cut_off",
                     "The process ends; cut_off counts connections with unanswered requests."},
    event_descriptor{event::settings_refused, event_level::error, "process", "settings_refused",
                     "reason", "A changed settings file has faults; the old settings stay."},
    event_descriptor{event::settings_reloaded, event_level::info, "process", "settings_reloaded",
                     "", "The settings file changed; its new values hold."},
    event_descriptor{event::process_stood_still, event_level::warning, "process",
                     "process_stood_still", "ms",
                     "The process did not run for some time; connections and reports from before "
                     "are dropped."},
    event_descriptor{event::log_lines_dropped, event_level::warning, "process", "log_lines_dropped",
                     "lines", "Lines were dropped, by the buffer's limit or the rate limit."},
    event_descriptor{event::accept_failed, event_level::warning, "calls", "accept_failed",
                     "port reason",
                     "A connection could not be accepted; tried again shortly. Descriptors may "
                     "have run out."},
    event_descriptor{event::connection_refused, event_level::warning, "calls", "connection_refused",
                     "port connections",
                     "A connection was closed at once: there are as many as the settings allow."},
    // 2xx: calls.
    event_descriptor{
        event::call_ended, event_level::info, "calls", "call_ended",
        "id route service end status sends runs ms target_ms upstream sent_ms busy slots "
        "slowness cold report_age_ms looks looked_at unknown full cold_held best_ms urgent_refused",
        "A call went well; a share of them is logged, by id."},
    event_descriptor{
        event::call_troubled, event_level::info, "calls", "call_troubled",
        "id route service end status sends runs ms target_ms upstream sent_ms busy slots "
        "slowness cold report_age_ms looks looked_at unknown full cold_held best_ms urgent_refused",
        "A call was refused, failed, was sent more than once, or was late; sent_ms is "
        "when it was sent, best_ms the expected time at the best upstream of the last look, "
        "the rest as for attempt_failed."},
    event_descriptor{
        event::attempt_failed, event_level::info, "calls", "attempt_failed",
        "id service end status ms upstream busy slots slowness cold report_age_ms",
        "An attempt did not bring the answer; from upstream on, the fields are what the "
        "choice was made on: requests there, slots, slowness in percent, age of the "
        "report."},
    event_descriptor{event::call_hedged, event_level::info, "calls", "call_hedged",
                     "id service first ms upstream busy slots slowness cold report_age_ms",
                     "The first upstream had not answered for ms; the request was sent to another "
                     "too, chosen on the fields from busy on."},
    event_descriptor{event::repeat_denied, event_level::info, "calls", "repeat_denied",
                     "id service reason",
                     "The request was not sent once more: as many upstreams as allowed have had "
                     "it, no time is left, it may have run, or the budget is spent."},
    // 3xx: upstreams.
    event_descriptor{event::upstream_silent, event_level::info, "upstreams", "upstream_silent",
                     "upstream service",
                     "An upstream that answered had no answer to a probe on a new connection, or "
                     "could not be connected to."},
    event_descriptor{event::upstream_replaced, event_level::info, "upstreams", "upstream_replaced",
                     "upstream service", "Another upstream answers at this one's address."},
    event_descriptor{event::upstream_back, event_level::info, "upstreams", "upstream_back",
                     "upstream service", "An upstream that was silent answers again."},
    // 5xx: store.
    event_descriptor{event::store_lost, event_level::warning, "store", "store_lost", "kind ms",
                     "The store has not answered about this kind for so long that the kind is "
                     "listed anew."},
    event_descriptor{event::store_back, event_level::info, "store", "store_back", "kind",
                     "The store answers about this kind again."},
    event_descriptor{event::store_history_gone, event_level::info, "store", "store_history_gone",
                     "kind", "The store dropped the history; the kind is listed anew."},
    event_descriptor{event::store_entry_refused, event_level::warning, "store",
                     "store_entry_refused", "object reason",
                     "An object of the store cannot be read; it is left out."},
    event_descriptor{event::vm_not_registered, event_level::warning, "store", "vm_not_registered",
                     "reason", "This VM could not enter itself in the store; it tries again."},
    event_descriptor{
        event::store_watch_ended, event_level::info, "store", "store_watch_ended",
        "kind after at events ms",
        "A watch that began at revision after was answered as of revision at; the next "
        "one begins there."},
    event_descriptor{event::store_call_failed, event_level::info, "store", "store_call_failed",
                     "kind call after failure reason ms",
                     "A listing, or a watch that began at revision after, was not answered or was "
                     "refused; tried again after a pause."},
    event_descriptor{event::store_unheard, event_level::warning, "store", "store_unheard", "reason",
                     "A small read was not answered or was refused: watches that wait are dropped, "
                     "and begin again once the store answers."},
    event_descriptor{event::store_heard, event_level::info, "store", "store_heard", "",
                     "The store answers again."},
    event_descriptor{
        event::store_change_missed, event_level::warning, "store", "store_change_missed",
        "kind after heard",
        "Another VM has seen a change of revision heard, which a watch that waits from "
        "revision after has not told: watches begin again."},
    // 6xx: configuration and registry.
    event_descriptor{event::config_applied, event_level::info, "config", "config_applied",
                     "version routes revision", "A newer configuration is in force on this VM."},
    event_descriptor{event::config_refused, event_level::error, "config", "config_refused",
                     "revision reason",
                     "A configuration cannot be read; the last good one stays in force."},
    event_descriptor{event::evacuations_changed, event_level::info, "config", "evacuations_changed",
                     "failure_domains", "Nothing more is sent to these failure domains."},
    event_descriptor{event::registry_listed, event_level::info, "config", "registry_listed",
                     "upstreams revision", "The registry was read whole."},
    event_descriptor{event::registry_changed, event_level::info, "config", "registry_changed",
                     "upstream service state cold_ms revision", "A registry entry changed."},
    // 7xx: members.
    event_descriptor{event::members_changed, event_level::info, "members", "members_changed",
                     "alive ready", "The number of living VMs changed."},
    event_descriptor{event::heartbeat_dropped, event_level::warning, "members", "heartbeat_dropped",
                     "peer reason", "A heartbeat could not be sent or read."},
};

} // namespace sniperock

/** @file event_table.hpp The table of all log events. */
#pragma once

#include "../event_type.hpp"

#include <array>

namespace sniperock {

/** All events, ordered by number. */
inline constexpr std::array event_table{
    // 1xx: process.
    event_descriptor{
        event::entry_started, event_level::info, "process", "entry_started",
        "version policy callers_port",
        "The entry process listens on its ports; it becomes ready once it has read the store."},
    event_descriptor{event::entry_leaving, event_level::info, "process", "entry_leaving",
                     "connections busy",
                     "SIGTERM or SIGINT was received: the VM reports not ready, is removed from "
                     "directory answers, and its connections close after their answers."},
    event_descriptor{
        event::entry_stopped, event_level::info, "process", "entry_stopped", "cut_off",
        "The process exits; cut_off is the number of connections with unanswered requests."},
    event_descriptor{event::settings_refused, event_level::error, "process", "settings_refused",
                     "reason",
                     "The changed settings file is invalid; the previous settings stay in effect."},
    event_descriptor{event::settings_reloaded, event_level::info, "process", "settings_reloaded",
                     "", "The settings file changed; the new values are in effect."},
    event_descriptor{
        event::process_stood_still, event_level::warning, "process", "process_stood_still", "ms",
        "The process did not run for ms; open connections and earlier reports are discarded."},
    event_descriptor{event::entry_outdated, event_level::warning, "process", "entry_outdated",
                     "configuration reported era ms",
                     "What this VM has read after its start may be older than what others know, as "
                     "the store was restored from a copy: it is not ready and refuses requests. "
                     "reported is the newest configuration of another VM."},
    event_descriptor{event::entry_current, event_level::info, "process", "entry_current",
                     "configuration reported era ms",
                     "This VM uses what it has read, ms after it was found to be outdated; if "
                     "configuration is lower than reported, nobody wrote the newer one again."},
    event_descriptor{event::log_lines_dropped, event_level::warning, "process", "log_lines_dropped",
                     "lines", "Lines were dropped because of the buffer limit or the rate limit."},
    event_descriptor{event::port_in_use, event_level::warning, "process", "port_in_use", "reason",
                     "The VM starts while another process uses one of its ports, such as its "
                     "predecessor that completes requests; it waits until the port is free."},
    event_descriptor{event::accept_failed, event_level::warning, "calls", "accept_failed",
                     "port reason",
                     "A connection could not be accepted and accepting is retried shortly; the "
                     "process may be out of file descriptors."},
    event_descriptor{
        event::connection_refused, event_level::warning, "calls", "connection_refused",
        "port connections",
        "A connection was closed at once because the limit in the settings is reached."},
    // 2xx: calls.
    event_descriptor{
        event::call_ended, event_level::info, "calls", "call_ended",
        "id request account route service end status sends runs ms target_ms upstream sent_ms busy "
        "slots "
        "slowness "
        "cold report_age_ms looks looked_at unknown full cold_held limit_held left best_ms "
        "urgent_refused domain",
        "A call succeeded; a fraction of the successful calls is logged, selected by id."},
    event_descriptor{
        event::call_troubled, event_level::info, "calls", "call_troubled",
        "id request account route service end status sends runs ms target_ms upstream sent_ms busy "
        "slots "
        "slowness "
        "cold report_age_ms looks looked_at unknown full cold_held limit_held left best_ms "
        "urgent_refused domain",
        "A call was refused, failed, was sent more than once, or was late; sent_ms is the time at "
        "which it was sent, best_ms the expected response time of the best upstream in the last "
        "selection, domain says home or why other failure domains were looked at, the other fields "
        "are those of attempt_failed. Calls for the same content have "
        "the same request, on every VM."},
    event_descriptor{
        event::attempt_failed, event_level::info, "calls", "attempt_failed",
        "id request service end status ms upstream busy slots slowness cold report_age_ms",
        "An attempt did not produce the answer; from upstream on, the fields are what the choice "
        "was based on: requests in flight there, slots, slowness in percent, age of the report."},
    event_descriptor{event::call_hedged, event_level::info, "calls", "call_hedged",
                     "id service first ms upstream busy slots slowness cold report_age_ms",
                     "The first upstream had not answered for ms; the request was also sent to "
                     "another upstream, chosen by the fields from busy on."},
    event_descriptor{
        event::repeat_denied, event_level::info, "calls", "repeat_denied", "id service reason",
        "The request was not sent again: it was sent to as many upstreams as allowed, "
        "no time is left, it may have run, part of its body is gone, the retry budget is "
        "exhausted, or upstreams ended while they ran it."},
    event_descriptor{event::answer_incomplete, event_level::warning, "calls", "answer_incomplete",
                     "id service upstream reason status",
                     "A large answer could not be completed: its deadline passed, or its upstream "
                     "broke it off. The caller got status in its place; if 0, a part was sent, and "
                     "the connection is closed behind it."},
    event_descriptor{event::request_suspected, event_level::info, "calls", "request_suspected",
                     "request upstream service",
                     "The process of the upstream ended while it ran this request, which may be "
                     "the cause or have run beside it."},
    event_descriptor{event::request_quarantined, event_level::warning, "calls",
                     "request_quarantined", "request ended failed_trials ms",
                     "As many upstreams as allowed ended while they ran this request, and none has "
                     "answered it: it is refused by all VMs for ms, then tried once."},
    event_descriptor{event::request_tried, event_level::info, "calls", "request_tried",
                     "request failed_trials",
                     "The quarantine of this request is over; this VM sends it once."},
    event_descriptor{event::request_cleared, event_level::info, "calls", "request_cleared",
                     "request", "An upstream has answered a request that was quarantined."},
    event_descriptor{
        event::account_unknown, event_level::warning, "calls", "account_unknown",
        "route reason refused",
        "Requests were refused with 401 since their route needs a client account and "
        "the configuration in force has none with their key; refused counts them since "
        "the previous line, of which there is one a second at most, route and reason "
        "are those of the last one."},
    event_descriptor{
        event::account_over_quota, event_level::warning, "calls", "account_over_quota",
        "account refused retry_after_ms",
        "Requests were refused with 429 since their client account has used up its quota; refused "
        "counts them since the previous line, of which there is one a second at most, account and "
        "retry_after_ms are those of the last one."},
    // 3xx: upstreams.
    event_descriptor{event::upstream_silent, event_level::info, "upstreams", "upstream_silent",
                     "upstream service reason",
                     "An upstream that had answered before did not answer a probe on a new "
                     "connection, or could not be connected to. The reason is refused if nothing "
                     "listens at its address any more, otherwise unanswered."},
    event_descriptor{event::upstream_replaced, event_level::info, "upstreams", "upstream_replaced",
                     "upstream service",
                     "A different upstream answers at the address of this one."},
    event_descriptor{event::upstream_back, event_level::info, "upstreams", "upstream_back",
                     "upstream service", "An upstream that was silent answers again."},
    event_descriptor{event::upstream_limited, event_level::info, "upstreams", "upstream_limited",
                     "upstream service per_s source",
                     "An upstream advertises that it accepts per_s requests per second from all "
                     "VMs together, or changes this limit by more than a fifth."},
    event_descriptor{event::upstream_unlimited, event_level::info, "upstreams",
                     "upstream_unlimited", "upstream service source",
                     "An upstream no longer advertises a limit."},
    event_descriptor{event::reach_changed, event_level::warning, "upstreams", "reach_changed",
                     "unreachable isolated",
                     "No upstream of the services named can be reached from this VM; isolated is 1 "
                     "if that holds for every service. Compare with other VMs: if they reach them, "
                     "this VM is cut off, otherwise the upstreams are down."},
    event_descriptor{
        event::domain_left, event_level::info, "upstreams", "domain_left", "service reason share",
        "Requests for this service begin to leave the failure domain, as its upstreams "
        "there are full, slow or failing; share is the percentage of a sample that is "
        "drawn elsewhere."},
    event_descriptor{event::domain_kept, event_level::info, "upstreams", "domain_kept",
                     "service share",
                     "Requests for this service stay in the failure domain again."},
    // 5xx: store.
    event_descriptor{
        event::store_lost, event_level::warning, "store", "store_lost", "kind ms",
        "The store has not answered about this kind for ms, so the kind is listed again."},
    event_descriptor{event::store_back, event_level::info, "store", "store_back", "kind",
                     "The store answers about this kind again."},
    event_descriptor{
        event::store_history_gone, event_level::info, "store", "store_history_gone", "kind",
        "The store no longer has the history for the watch; the kind is listed again."},
    event_descriptor{event::store_entry_refused, event_level::warning, "store",
                     "store_entry_refused", "object reason",
                     "An object in the store cannot be read; it is ignored."},
    event_descriptor{event::vm_not_registered, event_level::warning, "store", "vm_not_registered",
                     "reason",
                     "This VM could not register itself in the store; registration is retried."},
    event_descriptor{event::store_watch_ended, event_level::info, "store", "store_watch_ended",
                     "kind after at events mode ms",
                     "A watch that started at revision after was answered as of revision at; the "
                     "next watch starts there."},
    event_descriptor{event::store_call_failed, event_level::info, "store", "store_call_failed",
                     "kind call after failure reason ms",
                     "A list call, or a watch that started at revision after, was not answered or "
                     "was refused; it is retried after a delay."},
    event_descriptor{event::store_unheard, event_level::warning, "store", "store_unheard", "reason",
                     "A small probe read was not answered or was refused; pending watches are "
                     "dropped and restart once the store answers."},
    event_descriptor{event::store_heard, event_level::info, "store", "store_heard", "",
                     "The store answers again."},
    event_descriptor{event::store_change_missed, event_level::warning, "store",
                     "store_change_missed", "kind after heard",
                     "Another VM has seen a change at revision heard that a pending watch from "
                     "revision after has not reported; the watch is replaced by a fresh one."},
    event_descriptor{event::store_role_changed, event_level::info, "store", "store_role_changed",
                     "role",
                     "How this VM follows the store: alone and announcer read fresh, a follower "
                     "stale until another VM reports a change that it lacks."},
    event_descriptor{event::store_restored, event_level::warning, "store", "store_restored",
                     "kind after at",
                     "The store was restored from a copy since revision after, and is at revision "
                     "at of a new era; the kind was listed again."},
    // 6xx: configuration and registry.
    event_descriptor{event::config_applied, event_level::info, "config", "config_applied",
                     "version routes revision", "A newer configuration is in force on this VM."},
    event_descriptor{event::config_refused, event_level::error, "config", "config_refused",
                     "revision reason",
                     "A configuration cannot be read; the last valid one stays in force."},
    event_descriptor{
        event::config_kind_unknown, event_level::error, "config", "config_kind_unknown", "route",
        "The route has a kind of request that this release does not know; its requests "
        "are served, and repeated only if they provably did not run."},
    event_descriptor{event::config_fields_ignored, event_level::info, "config",
                     "config_fields_ignored", "fields",
                     "The configuration has fields that this release does not know; they are "
                     "ignored."},
    event_descriptor{event::evacuations_changed, event_level::info, "config", "evacuations_changed",
                     "failure_domains", "No more requests are sent to these failure domains."},
    event_descriptor{event::registry_listed, event_level::info, "config", "registry_listed",
                     "upstreams revision", "The registry was read completely."},
    event_descriptor{event::registry_changed, event_level::info, "config", "registry_changed",
                     "upstream service state cold_ms revision", "A registry entry changed."},
    event_descriptor{event::rollout_ordered, event_level::info, "config", "rollout_ordered",
                     "service version order duration_ms age_ms",
                     "An operator has ordered to move the service to a new version; this VM knows "
                     "of it from the store or from another VM, age_ms after the first one."},
    event_descriptor{event::rollout_changed, event_level::info, "config", "rollout_changed",
                     "service version state ms",
                     "A roll-out has entered a state, ms after its order. promoting: all requests "
                     "move to the new version; condemned: it gets none any more; rolled-back and "
                     "succeeded: the store states it; withdrawn: the order was deleted."},
    event_descriptor{
        event::rollout_judged, event_level::warning, "config", "rollout_judged",
        "service version fault route_hash ran failed log_time timed stable_ran stable_failed "
        "stable_log_time stable_timed slots stable_slots stable_running",
        "This VM has found a new version to be bad, from the evidence of all VMs. The fault is "
        "failures, slowness, unproven or no-room; route_hash is 0 if it is none of a single route. "
        "ran and failed count requests; log_time / timed / 1000 is the average binary logarithm "
        "of their time in ms; stable is the old version in the same time. slots are those of the "
        "upstreams that may be used; stable_running counts requests that run at the old version."},
    event_descriptor{event::rollout_written, event_level::info, "config", "rollout_written",
                     "service version state stored revision",
                     "This VM has written the status of a roll-out; stored is what the store holds "
                     "then, which another VM may have written before."},
    event_descriptor{event::rollout_not_written, event_level::warning, "config",
                     "rollout_not_written", "service version state reason",
                     "The store has not accepted the status of a roll-out; this VM or another one "
                     "tries again."},
    // 7xx: members.
    event_descriptor{event::members_changed, event_level::info, "members", "members_changed",
                     "alive ready", "The number of VMs that are alive or ready changed."},
    event_descriptor{event::heartbeat_dropped, event_level::warning, "members", "heartbeat_dropped",
                     "peer reason", "A heartbeat could not be sent or read."},
};

} // namespace sniperock

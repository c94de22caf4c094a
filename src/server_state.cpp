/** @file server_state.cpp Joins a server's limit and health into one answer: may it take a call. */
#include "server_state.hpp"

namespace sniperock {

std::uint32_t usable_limit(const server_state& server, wall_time wall)
{
    const bool open = server.available && wall >= server.closed_until &&
                      server.health.standing() == server_standing::usable;
    return open ? server.limit.current() : 0;
}

bool can_take(const server_state& server, call_class kind, local_time now, wall_time wall)
{
    if (server.in_flight < usable_limit(server, wall)) {
        return true;
    }
    const bool trial = server.available && wall >= server.closed_until &&
                       server.health.trial_due(now) && server.in_flight == 0;
    return trial && kind == call_class::safe;
}

server_sight sight_of(const server_state& server)
{
    server_sight sight;
    sight.in_flight = server.in_flight;
    sight.limit = server.limit.current();
    sight.cost = server.health.cost();
    if (const auto& report = server.health.report()) {
        sight.reported_in_flight = report->in_flight;
        sight.reported_slots = report->slots;
    }
    return sight;
}

bool take_report(server_state& server, const call_report& report, nanoseconds peer_latency,
                 local_time now)
{
    server.health.on_call(report, now);
    switch (report.result) {
    case call_result::shed:
    case call_result::not_sent:
    case call_result::failed:
        return server.limit.cut(now);
    case call_result::answered:
        break;
    default:
        return false;
    }
    cold_evidence seen;
    seen.latency = report.latency;
    seen.peer_latency = peer_latency;
    if (report.load) {
        seen.phase = report.load->phase;
    }
    if (report.server_error) {
        return seen.phase == server_phase::cold && server.limit.cut(now);
    }
    return server.limit.on_answer(seen, now);
}

} // namespace sniperock

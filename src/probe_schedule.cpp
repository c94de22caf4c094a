/** @file probe_schedule.cpp Divides a service's probe rate among the owners of its servers. */
#include "probe_schedule.hpp"

#include <algorithm>
#include <tuple>

namespace sniperock {
namespace {

/** Slots are not shorter than this; higher rates put several probes into one. */
constexpr microseconds shortest_slot{100'000};
constexpr microseconds one_second{1'000'000};
/** A server that answered a call within this time needs no probe. */
constexpr milliseconds fresh_answer{1'000};
/** A server is not probed again sooner. */
constexpr milliseconds probe_pause{200};

} // namespace

std::vector<std::size_t> probe_slot::turns(std::size_t servers) const
{
    std::vector<std::size_t> result;
    if (servers == 0) {
        return result;
    }
    for (std::uint32_t at = 0; at < probes; ++at) {
        const auto turn = static_cast<std::uint64_t>(number) * probes + at;
        result.push_back(static_cast<std::size_t>(turn % servers));
    }
    return result;
}

probe_slot probe_slot_at(std::uint32_t rate, wall_time time)
{
    probe_slot slot;
    slot.length = std::max(one_second / std::max(rate, 1U), shortest_slot);
    slot.probes = static_cast<std::uint32_t>(
        std::max<std::int64_t>(std::int64_t{rate} * slot.length.count() / one_second.count(), 1));
    slot.number = time.time_since_epoch() / slot.length;
    slot.start = wall_time{slot.length * slot.number};
    return slot;
}

probe_need need_of(const server_state& server, local_time now, wall_time wall)
{
    probe_need need;
    need.seen = std::max(server.health.last_answer(), server.probed_at);
    if (!server.available || now - server.probed_at < probe_pause) {
        return need;
    }
    if (server.closed_until > wall) {
        need.urgency =
            wall >= server.started_until ? probe_need::level::closed : probe_need::level::none;
        return need;
    }
    switch (server.health.standing()) {
    case server_standing::suspended:
        need.urgency =
            server.health.trial_due(now) ? probe_need::level::suspended : probe_need::level::none;
        break;
    case server_standing::draining:
        need.urgency = probe_need::level::draining;
        break;
    case server_standing::usable:
        need.urgency = now - need.seen >= fresh_answer ? probe_need::level::no_answer_lately
                                                       : probe_need::level::none;
        break;
    }
    return need;
}

std::optional<std::size_t> most_needed(std::span<const probe_need> needs)
{
    const auto best = std::ranges::max_element(needs, [](const probe_need& a, const probe_need& b) {
        return std::tie(a.urgency, b.seen) < std::tie(b.urgency, a.seen);
    });
    if (best == needs.end() || best->urgency == probe_need::level::none) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(best - needs.begin());
}

} // namespace sniperock

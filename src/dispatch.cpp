/** @file dispatch.cpp Grants slots on owned servers, least loaded first, in order of arrival. */
#include "dispatch.hpp"

#include <algorithm>
#include <ranges>

namespace sniperock {
namespace {

constexpr milliseconds retry_when_full{100};

bool tried_before(const call_spec& spec, const std::string& server)
{
    return std::ranges::find(spec.avoid, server) != spec.avoid.end();
}

} // namespace

void dispatcher::set_owned(const std::map<std::string, std::vector<server_entry>>& owned)
{
    const std::unique_lock lock(shards_mutex_);
    for (const auto& [service, entries] : owned) {
        auto& shard = shards_[service];
        if (!shard) {
            shard = std::make_shared<service_shard>();
        }
        const std::lock_guard shard_lock(shard->mutex);
        std::vector<server_slots> servers;
        for (const auto& entry : entries) {
            const auto known = std::ranges::find_if(shard->servers, [&](const server_slots& item) {
                return item.entry.name == entry.name;
            });
            servers.push_back({entry, known == shard->servers.end() ? 0 : known->in_flight});
        }
        shard->servers = std::move(servers);
    }
}

std::shared_ptr<dispatcher::service_shard> dispatcher::find_shard(const std::string& service) const
{
    const std::shared_lock lock(shards_mutex_);
    const auto found = shards_.find(service);
    return found == shards_.end() ? nullptr : found->second;
}

std::optional<grant> dispatcher::take_slot(service_shard& shard, const call_spec& spec,
                                           local_time now, wall_time wall_now)
{
    const auto free = [&](const server_slots& server) {
        return server.in_flight < server.entry.slots && !tried_before(spec, server.entry.name);
    };
    auto candidates = shard.servers | std::views::filter(free);
    const auto best = std::ranges::min_element(candidates, {}, &server_slots::in_flight);
    if (best == candidates.end()) {
        return std::nullopt;
    }
    ++best->in_flight;
    const auto left = std::chrono::duration_cast<microseconds>(spec.deadline - now);
    return grant{permit_id{next_permit_++}, {spec.service, best->entry.name},
                 best->entry.address,       best->entry.port,
                 wall_now + left,           {}};
}

void dispatcher::acquire(const call_spec& spec, local_time now, wall_time wall_now,
                         grant_handler done)
{
    const auto shard = find_shard(spec.service);
    if (!shard) {
        done(refusal{refusal_reason::unknown_service});
        return;
    }
    std::unique_lock lock(shard->mutex);
    if (shard->servers.empty()) {
        lock.unlock();
        done(refusal{refusal_reason::no_servers, retry_when_full});
        return;
    }
    if (shard->waiting.empty()) {
        if (auto taken = take_slot(*shard, spec, now, wall_now)) {
            lock.unlock();
            done(std::move(*taken));
            return;
        }
    }
    if (shard->waiting.size() >= limits_.queue_limit) {
        lock.unlock();
        done(refusal{refusal_reason::queue_full, retry_when_full});
        return;
    }
    shard->waiting.push_back({spec, std::move(done)});
}

std::vector<dispatcher::ready_call> dispatcher::serve_waiting(service_shard& shard, local_time now,
                                                              wall_time wall_now)
{
    std::vector<ready_call> ready;
    while (!shard.waiting.empty()) {
        auto taken = take_slot(shard, shard.waiting.front().spec, now, wall_now);
        if (!taken) {
            break;
        }
        ready.emplace_back(std::move(shard.waiting.front().done), std::move(*taken));
        shard.waiting.pop_front();
    }
    return ready;
}

void dispatcher::release(const grant& used, const call_report& /*report*/, local_time now,
                         wall_time wall_now)
{
    const auto shard = find_shard(used.server.service);
    if (!shard) {
        return;
    }
    std::vector<ready_call> ready;
    {
        const std::lock_guard lock(shard->mutex);
        const auto server = std::ranges::find_if(shard->servers, [&](const server_slots& item) {
            return item.entry.name == used.server.server;
        });
        if (server != shard->servers.end() && server->in_flight > 0) {
            --server->in_flight;
        }
        ready = serve_waiting(*shard, now, wall_now);
    }
    std::ranges::for_each(ready, [](ready_call& call) { call.first(std::move(call.second)); });
}

void dispatcher::expire(local_time now)
{
    std::vector<std::shared_ptr<service_shard>> shards;
    {
        const std::shared_lock lock(shards_mutex_);
        std::ranges::copy(shards_ | std::views::values, std::back_inserter(shards));
    }
    std::vector<waiting_call> late;
    for (const auto& shard : shards) {
        const std::lock_guard lock(shard->mutex);
        const auto is_late = [now](const waiting_call& call) { return call.spec.deadline <= now; };
        std::ranges::copy_if(shard->waiting, std::back_inserter(late), is_late);
        std::erase_if(shard->waiting, is_late);
    }
    std::ranges::for_each(late, [](waiting_call& call) {
        call.done(refusal{refusal_reason::deadline, milliseconds{0}});
    });
}

std::vector<service_status> dispatcher::status() const
{
    std::vector<service_status> result;
    const std::shared_lock lock(shards_mutex_);
    for (const auto& [name, shard] : shards_) {
        const std::lock_guard shard_lock(shard->mutex);
        service_status item{name, shard->servers.size(), 0, 0, shard->waiting.size()};
        for (const auto& server : shard->servers) {
            item.slots += server.entry.slots;
            item.in_flight += server.in_flight;
        }
        result.push_back(std::move(item));
    }
    return result;
}

} // namespace sniperock

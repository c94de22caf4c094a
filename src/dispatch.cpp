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

void dispatcher::set_lease(local_time grant_until)
{
    lease_until_ = grant_until;
}

void dispatcher::gain(const std::vector<gained_server>& gained, local_time /*now*/,
                      wall_time /*wall_now*/)
{
    for (const auto& item : gained) {
        const std::unique_lock lock(shards_mutex_);
        auto& shard = shards_[item.service];
        if (!shard) {
            shard = std::make_shared<service_shard>();
        }
        const std::lock_guard shard_lock(shard->mutex);
        std::erase_if(shard->servers, [&](const server_slots& server) {
            return server.entry.name == item.entry.name;
        });
        shard->servers.push_back(
            {item.entry, static_cast<std::uint32_t>(item.state.outstanding.size())});
    }
}

std::vector<server_handover> dispatcher::give_up(const std::vector<server_key>& servers,
                                                 local_time /*now*/)
{
    std::vector<server_handover> result;
    for (const auto& key : servers) {
        const auto shard = find_shard(key.service);
        if (!shard) {
            continue;
        }
        const std::lock_guard lock(shard->mutex);
        const auto erased = std::erase_if(shard->servers, [&](const server_slots& server) {
            return server.entry.name == key.server;
        });
        if (erased > 0) {
            result.push_back({key, 1, {}, {}});
        }
    }
    return result;
}

void dispatcher::set_view(std::shared_ptr<const ownership_view> view)
{
    const std::lock_guard lock(knowledge_mutex_);
    view_ = std::move(view);
}

void dispatcher::apply(std::shared_ptr<const config_snapshot> config)
{
    const std::lock_guard lock(knowledge_mutex_);
    config_ = std::move(config);
}

bool dispatcher::cancel(call_ticket ticket)
{
    const std::shared_lock lock(shards_mutex_);
    return std::ranges::any_of(shards_ | std::views::values, [&](const auto& shard) {
        const std::lock_guard shard_lock(shard->mutex);
        return std::erase_if(shard->waiting,
                             [&](const waiting_call& call) { return call.ticket == ticket; }) > 0;
    });
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
    if (now >= lease_until_.load()) {
        return std::nullopt;
    }
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

call_ticket dispatcher::acquire(const call_spec& spec, local_time now, wall_time wall_now,
                                grant_handler done)
{
    const auto shard = find_shard(spec.service);
    if (!shard) {
        done(refusal{refusal_reason::unknown_service});
        return {};
    }
    std::unique_lock lock(shard->mutex);
    if (shard->servers.empty()) {
        lock.unlock();
        done(refusal{refusal_reason::no_servers, retry_when_full});
        return {};
    }
    if (shard->waiting.empty()) {
        if (auto taken = take_slot(*shard, spec, now, wall_now)) {
            lock.unlock();
            done(std::move(*taken));
            return {};
        }
    }
    if (shard->waiting.size() >= limits_.queue_limit) {
        lock.unlock();
        done(refusal{refusal_reason::queue_full, retry_when_full});
        return {};
    }
    const call_ticket ticket{next_ticket_++};
    shard->waiting.push_back({ticket, spec, std::move(done)});
    return ticket;
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

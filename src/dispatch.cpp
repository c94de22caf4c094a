/** @file dispatch.cpp Leads calls, messages and changes to the service that they concern. */
#include "dispatch.hpp"

#include <algorithm>
#include <iterator>
#include <ranges>

namespace sniperock {
namespace {

constexpr std::uint32_t ticket_bits = 40;

} // namespace

dispatcher::dispatcher(dispatch_identity identity, dispatch_limits limits, peer_send send,
                       metrics* measured)
    : context_{std::move(identity), std::move(limits), measured}, send_(std::move(send))
{
    // An unknown policy is refused here, not at the first service.
    static_cast<void>(policy_registry::instance().make(context_.limits.policy));
}

moment dispatcher::remember(local_time now, wall_time wall_now)
{
    const nanoseconds wall = wall_now.time_since_epoch();
    wall_offset_ = (wall - now.time_since_epoch()).count();
    last_now_ = now;
    return {now, wall_now};
}

moment dispatcher::latest() const
{
    const auto now = last_now_.load();
    const nanoseconds wall = now.time_since_epoch() + nanoseconds{wall_offset_.load()};
    return {now, wall_time{std::chrono::duration_cast<microseconds>(wall)}};
}

std::shared_ptr<dispatcher::service_shard> dispatcher::find_shard(const std::string& service) const
{
    const std::shared_lock lock(shards_mutex_);
    const auto found = shards_.find(service);
    return found == shards_.end() ? nullptr : found->second;
}

std::shared_ptr<dispatcher::service_shard> dispatcher::make_shard(const std::string& service)
{
    const std::unique_lock lock(shards_mutex_);
    auto& shard = shards_[service];
    if (!shard) {
        const auto number = static_cast<std::uint32_t>(by_number_.size());
        shard = std::make_shared<service_shard>(service, number, context_);
        by_number_.push_back(shard);
        if (view_) {
            shard->schedule.set_view(view_);
        }
    }
    return shard;
}

std::vector<std::shared_ptr<dispatcher::service_shard>> dispatcher::all_shards() const
{
    const std::shared_lock lock(shards_mutex_);
    return by_number_;
}

void dispatcher::carry_out(dispatch_effects&& effects)
{
    for (const auto& message : effects.messages) {
        if (send_) {
            send_(message.vm, message.kind, message.payload);
        }
    }
    for (auto& [done, result] : effects.answers) {
        done(std::move(result));
    }
}

void dispatcher::set_owned(const std::map<std::string, std::vector<server_entry>>& owned)
{
    for (const auto& [service, entries] : owned) {
        const auto shard = make_shard(service);
        dispatch_effects effects;
        {
            const std::lock_guard lock(shard->mutex);
            shard->schedule.set_owned(entries, latest(), effects);
        }
        carry_out(std::move(effects));
    }
}

void dispatcher::set_lease(local_time grant_until)
{
    context_.lease_until = grant_until;
}

void dispatcher::gain(const std::vector<gained_server>& gained, local_time now, wall_time wall_now)
{
    const auto at = remember(now, wall_now);
    for (const auto& item : gained) {
        const auto shard = make_shard(item.service);
        dispatch_effects effects;
        {
            const std::lock_guard lock(shard->mutex);
            shard->schedule.gain(item, at, effects);
        }
        carry_out(std::move(effects));
    }
}

std::vector<server_handover> dispatcher::give_up(const std::vector<server_key>& servers,
                                                 local_time now)
{
    const nanoseconds wall = now.time_since_epoch() + nanoseconds{wall_offset_.load()};
    const moment at{now, wall_time{std::chrono::duration_cast<microseconds>(wall)}};
    std::vector<server_handover> result;
    for (const auto& key : servers) {
        const auto shard = find_shard(key.service);
        if (!shard) {
            continue;
        }
        dispatch_effects effects;
        {
            const std::lock_guard lock(shard->mutex);
            if (auto state = shard->schedule.give_up(key.server, at, effects)) {
                result.push_back(std::move(*state));
            }
        }
        carry_out(std::move(effects));
    }
    return result;
}

void dispatcher::set_view(std::shared_ptr<const ownership_view> view)
{
    {
        const std::unique_lock lock(shards_mutex_);
        view_ = view;
    }
    for (const auto& shard : all_shards()) {
        const std::lock_guard lock(shard->mutex);
        shard->schedule.set_view(view);
    }
}

void dispatcher::apply(std::shared_ptr<const config_snapshot> config)
{
    std::map<std::string, std::vector<allowance>> allowed;
    std::ranges::for_each(config->allowances,
                          [&](const allowance& item) { allowed[item.service].push_back(item); });
    std::map<std::string, const service_entry*> entries;
    for (const auto& entry : config->services) {
        entries[entry.name] = &entry;
        make_shard(entry.name);
    }
    shard_map shards;
    {
        const std::shared_lock lock(shards_mutex_);
        shards = shards_;
    }
    for (const auto& [name, shard] : shards) {
        const auto entry = entries.find(name);
        dispatch_effects effects;
        {
            const std::lock_guard lock(shard->mutex);
            shard->schedule.apply(entry == entries.end() ? nullptr : entry->second, allowed[name],
                                  config->out, latest(), effects);
        }
        carry_out(std::move(effects));
    }
}

call_ticket dispatcher::acquire(const call_spec& spec, local_time now, wall_time wall_now,
                                grant_handler done)
{
    const auto shard = find_shard(spec.service);
    if (!shard) {
        done(refusal{refusal_reason::unknown_service, {}});
        return {};
    }
    dispatch_effects effects;
    call_ticket ticket;
    {
        const std::lock_guard lock(shard->mutex);
        ticket = shard->schedule.acquire(spec, std::move(done), remember(now, wall_now), effects);
    }
    carry_out(std::move(effects));
    return ticket;
}

bool dispatcher::cancel(call_ticket ticket)
{
    std::shared_ptr<service_shard> shard;
    {
        const std::shared_lock lock(shards_mutex_);
        const auto number = static_cast<std::size_t>(ticket.value >> ticket_bits);
        if (ticket.value == 0 || number >= by_number_.size()) {
            return false;
        }
        shard = by_number_[number];
    }
    dispatch_effects effects;
    bool dropped = false;
    {
        const std::lock_guard lock(shard->mutex);
        dropped = shard->schedule.cancel(ticket, latest(), effects);
    }
    carry_out(std::move(effects));
    return dropped;
}

void dispatcher::release(const grant& used, const call_report& report, local_time now,
                         wall_time wall_now)
{
    const auto shard = find_shard(used.server.service);
    if (!shard) {
        return;
    }
    dispatch_effects effects;
    {
        const std::lock_guard lock(shard->mutex);
        shard->schedule.release(used, report, remember(now, wall_now), effects);
    }
    carry_out(std::move(effects));
}

template <typename Message, typename Handle>
void dispatcher::take_in(const peer_message& message, Handle&& handle)
{
    const auto decoded = decode_payload<Message>(message.payload);
    const auto shard = decoded ? find_shard(decoded->service) : nullptr;
    if (!shard) {
        return;
    }
    dispatch_effects effects;
    {
        const std::lock_guard lock(shard->mutex);
        handle(shard->schedule, *decoded, effects);
    }
    carry_out(std::move(effects));
}

void dispatcher::on_message(const peer_message& message, local_time now, wall_time wall_now)
{
    const auto at = remember(now, wall_now);
    const auto& from = message.from;
    switch (message.kind) {
    case peer_message_kind::permit_request:
        take_in<permit_request>(message, [&](auto& schedule, const auto& item, auto& effects) {
            schedule.on_request(from, item, at, effects);
        });
        break;
    case peer_message_kind::permit_reply:
        take_in<permit_reply>(message, [&](auto& schedule, const auto& item, auto& effects) {
            schedule.on_reply(from, item, at, effects);
        });
        break;
    case peer_message_kind::permit_release:
        take_in<permit_release>(message, [&](auto& schedule, const auto& item, auto& effects) {
            schedule.on_release(from, item, at, effects);
        });
        break;
    case peer_message_kind::permit_hint:
        take_hints(message, at);
        break;
    default:
        break;
    }
}

void dispatcher::take_hints(const peer_message& message, moment at)
{
    const auto decoded = decode_payload<permit_hint_message>(message.payload);
    if (!decoded) {
        return;
    }
    for (const auto& hint : decoded->hints) {
        const auto shard = find_shard(hint.service);
        if (!shard) {
            continue;
        }
        dispatch_effects effects;
        {
            const std::lock_guard lock(shard->mutex);
            shard->schedule.on_hint(message.from, hint, at, effects);
        }
        carry_out(std::move(effects));
    }
}

void dispatcher::holder_gone(const peer_identity& holder, wall_time wall_now)
{
    for (const auto& shard : all_shards()) {
        const std::lock_guard lock(shard->mutex);
        shard->schedule.holder_gone(holder, wall_now);
    }
}

void dispatcher::send_hints(const std::vector<outbound_hint>& hints)
{
    std::map<std::string, permit_hint_message> by_vm;
    std::ranges::for_each(
        hints, [&](const outbound_hint& item) { by_vm[item.vm].hints.push_back(item.hint); });
    for (const auto& [vm, message] : by_vm) {
        if (send_) {
            send_(vm, peer_message_kind::permit_hint, encode_payload(message));
        }
    }
}

void dispatcher::tick(local_time now, wall_time wall_now)
{
    const auto at = remember(now, wall_now);
    std::vector<outbound_hint> hints;
    for (const auto& shard : all_shards()) {
        dispatch_effects effects;
        {
            const std::lock_guard lock(shard->mutex);
            if (!shard->schedule.needs_tick()) {
                continue;
            }
            shard->schedule.tick(at, effects);
            std::ranges::move(shard->schedule.take_hints(at), std::back_inserter(hints));
        }
        carry_out(std::move(effects));
    }
    send_hints(hints);
}

void dispatcher::expire(local_time now)
{
    const nanoseconds wall = now.time_since_epoch() + nanoseconds{wall_offset_.load()};
    tick(now, wall_time{std::chrono::duration_cast<microseconds>(wall)});
}

std::vector<probe_order> dispatcher::take_probes(local_time now, wall_time wall_now)
{
    const auto at = remember(now, wall_now);
    std::vector<probe_order> orders;
    for (const auto& shard : all_shards()) {
        const std::lock_guard lock(shard->mutex);
        std::ranges::move(shard->schedule.take_probes(at), std::back_inserter(orders));
    }
    return orders;
}

void dispatcher::on_probe(const server_key& server, const std::optional<load_report>& report,
                          local_time now, wall_time wall_now)
{
    const auto shard = find_shard(server.service);
    if (!shard) {
        return;
    }
    dispatch_effects effects;
    {
        const std::lock_guard lock(shard->mutex);
        shard->schedule.on_probe(server.server, report, remember(now, wall_now), effects);
    }
    carry_out(std::move(effects));
}

std::vector<service_status> dispatcher::status() const
{
    std::vector<service_status> result;
    for (const auto& shard : all_shards()) {
        const std::lock_guard lock(shard->mutex);
        result.push_back(shard->schedule.status(latest().wall));
    }
    return result;
}

} // namespace sniperock

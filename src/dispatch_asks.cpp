/** @file dispatch_asks.cpp Permits between owners: asking, answering, withdrawing, hints. */
#include "dispatch_service.hpp"

#include <algorithm>
#include <iterator>
#include <limits>
#include <ranges>
#include <tuple>

namespace sniperock {
namespace {

/** An owner that did not answer a request by then is asked no more. */
constexpr milliseconds ask_timeout{40};
/** How often a call that waits at another owner is asked about again. */
constexpr milliseconds queued_refresh{200};
/** Refreshes without an answer after which the owner counts as lost. */
constexpr std::uint32_t refreshes_to_lose = 2;
constexpr milliseconds avoid_lost_owner{500};
constexpr std::size_t most_owners_asked = 4;
constexpr std::size_t most_asks_at_once = 2;
constexpr milliseconds hint_period{20};
/** Hints go to vms that asked within this time. */
constexpr seconds hint_interest{5};
/** After this a hint says nothing any more. */
constexpr seconds hint_life{1};
/** Others are told of a change of the waiting calls by more than one part in this many. */
constexpr std::uint32_t waiting_change_told = 4;
constexpr milliseconds retry_when_withdrawn{100};
constexpr std::uint8_t most_release_hops = 3;
constexpr seconds dead_holder_grace{1};

call_report report_of(const permit_release& message)
{
    call_report report;
    report.result = static_cast<call_result>(message.result);
    report.latency = nanoseconds{message.latency_ns};
    report.server_error = message.server_error;
    if (message.has_load) {
        report.load =
            load_report{static_cast<server_phase>(message.phase), message.in_flight, message.slots};
    }
    return report;
}

/** True if @p now would lead another vm to other choices than @p before. */
bool differs(const permit_hint& now, const permit_hint& before)
{
    const auto more = std::max(now.waiting, before.waiting);
    const auto less = std::min(now.waiting, before.waiting);
    return now.free_slots != before.free_slots || now.limit != before.limit ||
           (more - less) * waiting_change_told > more;
}

/** Waiting calls for each slot that an owner has. */
double crowding(std::size_t waiting, std::uint32_t limit)
{
    return static_cast<double>(waiting + 1) / std::max(limit, 1U);
}

} // namespace

bool service_schedule::has_part(const owner_sight& owner, const plan_state& plan) const
{
    const auto& rules = plan.in_force();
    const auto has = [&](std::uint32_t limit, const limit_parts& parts) {
        return limit == 0 || std::ranges::any_of(owner.servers, [&](const std::string& server) {
                   const auto found = parts.find(server);
                   return found != parts.end() && found->second > 0;
               });
    };
    return has(rules.max_in_flight, rules.in_flight_parts) && has(rules.max_rate, rules.rate_parts);
}

bool service_schedule::has_part_here(const plan_state& plan) const
{
    const auto& rules = plan.in_force();
    const auto ever = wall_time::max();
    return (rules.max_in_flight == 0 ||
            part(rules.in_flight_parts, rules.max_in_flight, ever) > 0) &&
           (rules.max_rate == 0 || part(rules.rate_parts, rules.max_rate, ever) > 0);
}

std::string service_schedule::best_owner(const waiting_call& call, moment at)
{
    if (!policy_->uses_ownership() || call.asked.size() >= most_owners_asked) {
        return {};
    }
    const auto& plan = plans_[call.spec.plan];
    const std::string* best = nullptr;
    std::tuple<bool, double, bool, std::uint32_t, std::uint64_t> best_rank;
    for (const auto& [vm, owner] : owners_) {
        const bool lost =
            owner.lost_at != local_time{} && at.now - owner.lost_at < avoid_lost_owner;
        const bool useless = std::ranges::all_of(owner.servers, [&](const std::string& server) {
            return std::ranges::find(call.spec.avoid, server) != call.spec.avoid.end();
        });
        if (lost || useless || call.asked.contains(vm) || !has_part(owner, plan)) {
            continue;
        }
        const bool unknown = owner.heard == local_time{} || at.now - owner.heard > hint_life;
        const bool full = !unknown && owner.hint.free_slots == 0;
        if (full && call.refused_for_load) {
            continue;
        }
        const double crowd = full ? crowding(owner.hint.waiting, owner.hint.limit) : 0;
        const std::uint32_t free = unknown ? 1 : owner.hint.free_slots;
        const std::tuple rank{full, crowd, !owner.same_domain,
                              std::numeric_limits<std::uint32_t>::max() - free, random_()};
        if (best == nullptr || rank < best_rank) {
            best = &vm;
            best_rank = rank;
        }
    }
    return best == nullptr ? std::string{} : *best;
}

bool service_schedule::prefers(const owner_sight& owner, moment at) const
{
    const bool unknown = owner.heard == local_time{} || at.now - owner.heard > hint_life;
    if (unknown || owner.hint.free_slots > 0) {
        return true;
    }
    return crowding(owner.hint.waiting, owner.hint.limit) < crowding(queue_.size(), usable(at));
}

void service_schedule::route(call_ticket ticket, moment at, dispatch_effects& effects)
{
    auto& call = calls_.at(ticket);
    const bool over_rate = call.last_refusal.reason == refusal_reason::plan_rate;
    const bool here = hopeful(at) && !over_rate && has_part_here(plans_[call.spec.plan]);
    const auto owner = best_owner(call, at);
    if (!owner.empty() && (!here || prefers(owners_.at(owner), at))) {
        ask(ticket, owner, at, effects);
        return;
    }
    if (here && !call.queued_here) {
        const auto why = enter_queue(ticket, at, effects);
        if (!why) {
            serve(at, effects);
            return;
        }
        call.last_refusal = *why;
    }
    if (call.asks.empty() && !call.queued_here) {
        refuse(ticket, refusal{call.last_refusal}, at, effects);
    }
}

void service_schedule::ask(call_ticket ticket, const std::string& owner, moment at,
                           dispatch_effects& effects)
{
    auto& call = calls_.at(ticket);
    permit_ask item;
    item.owner = owner;
    item.request = shared_.next_request++;
    item.check_at = at.now + ask_timeout;
    asks_[item.request] = ticket;
    checks_.emplace(item.check_at, ticket);
    checks_.emplace(call.spec.deadline, ticket);
    call.asked.insert(owner);
    auto& hint = owners_[owner].hint;
    hint.free_slots -= std::min(hint.free_slots, 1U);
    ++counts_.asked;
    send_request(call, item, effects);
    call.asks.push_back(std::move(item));
}

void service_schedule::send_request(const waiting_call& call, const permit_ask& item,
                                    dispatch_effects& effects)
{
    permit_request message;
    message.request = item.request;
    message.service = service_;
    message.plan = call.spec.plan;
    message.kind = static_cast<std::uint8_t>(call.spec.kind);
    message.fence_us = to_unix_us(call.fence);
    message.avoid = call.spec.avoid;
    effects.messages.push_back(
        {item.owner, peer_message_kind::permit_request, encode_payload(message)});
}

void service_schedule::withdraw(const waiting_call& call, const permit_ask& item,
                                dispatch_effects& effects)
{
    permit_release message;
    message.request = item.request;
    message.service = service_;
    message.fence_us = to_unix_us(call.fence);
    message.result = static_cast<std::uint8_t>(call_result::cancelled);
    effects.messages.push_back(
        {item.owner, peer_message_kind::permit_release, encode_payload(message)});
    asks_.erase(item.request);
}

void service_schedule::drop_asks(waiting_call& call, const std::string& except,
                                 dispatch_effects& effects)
{
    for (const auto& item : call.asks) {
        if (!except.empty() && item.owner == except) {
            asks_.erase(item.request);
        }
        else {
            withdraw(call, item, effects);
        }
    }
    call.asks.clear();
}

void service_schedule::check_asks(call_ticket ticket, moment at, dispatch_effects& effects)
{
    auto& call = calls_.at(ticket);
    if (call.spec.deadline <= at.now) {
        refuse(ticket, {refusal_reason::deadline, {}}, at, effects);
        return;
    }
    const auto lost = [&](permit_ask& item) {
        if (item.check_at > at.now) {
            return false;
        }
        if (item.queued && item.unanswered < refreshes_to_lose) {
            ++item.unanswered;
            item.check_at = at.now + queued_refresh;
            checks_.emplace(item.check_at, ticket);
            send_request(call, item, effects);
            return false;
        }
        ++counts_.asks_lost;
        owners_[item.owner].lost_at = at.now;
        withdraw(call, item, effects);
        return true;
    };
    std::erase_if(call.asks, lost);
    if (call.asks.empty() && !call.queued_here) {
        route(ticket, at, effects);
    }
}

void service_schedule::reply(const request_key& to, permit_answer answer, const grant* slot,
                             const refusal* why, moment at, dispatch_effects& effects)
{
    permit_reply message;
    message.request = to.request;
    message.life = to.from.life.value;
    message.service = service_;
    message.answer = static_cast<std::uint8_t>(answer);
    if (slot != nullptr) {
        message.permit = slot->permit.value;
        message.server = slot->server.server;
        message.address = slot->address;
        message.port = slot->port;
        message.start_by_us = to_unix_us(slot->fence);
    }
    if (why != nullptr) {
        message.reason = static_cast<std::uint8_t>(why->reason);
        message.retry_after_ms = why->retry_after.count();
    }
    message.hint = hint_now(at);
    effects.messages.push_back(
        {to.from.vm, peer_message_kind::permit_reply, encode_payload(message)});
}

void service_schedule::on_request(const peer_identity& from, const permit_request& message,
                                  moment at, dispatch_effects& effects)
{
    interested_[from.vm] = at.now;
    const request_key key{from, message.request};
    const refusal moved{refusal_reason::no_servers, retry_when_withdrawn};
    if (const auto* known = book_.request(key)) {
        const auto* record = book_.find(known->permit);
        const auto* server = record == nullptr ? nullptr : find_server(record->server);
        if (server != nullptr) {
            const auto again = grant_of(*record, *server);
            reply(key, permit_answer::granted, &again, nullptr, at, effects);
        }
        else if (known->waiting.value != 0 && calls_.contains(known->waiting)) {
            reply(key, permit_answer::queued, nullptr, nullptr, at, effects);
        }
        else {
            reply(key, permit_answer::refused, nullptr, &moved, at, effects);
        }
        return;
    }
    waiting_call call;
    call.guest = key;
    call.fence = from_unix_us(message.fence_us);
    call.since = at.now;
    call.spec = {message.service, message.plan, static_cast<call_class>(message.kind),
                 at.now + (call.fence - at.wall), message.avoid};
    auto why = refuse_at_once(call.spec, at);
    if (!why && !hopeful(at)) {
        why = moved;
    }
    if (!why) {
        why = admit_guest(std::move(call), at, effects);
    }
    if (why) {
        count_refusal(*why);
        book_.note_request(key, {{}, {}, from_unix_us(message.fence_us)});
        reply(key, permit_answer::refused, nullptr, &*why, at, effects);
    }
}

std::optional<refusal> service_schedule::admit_guest(waiting_call call, moment at,
                                                     dispatch_effects& effects)
{
    const request_key key = *call.guest;
    if (queue_.heads(1).empty()) {
        const auto tried = try_slot(call, at);
        switch (tried.result) {
        case try_result::granted:
            book_.note_request(key, {{}, tried.slot.permit, call.fence});
            reply(key, permit_answer::granted, &tried.slot, nullptr, at, effects);
            return std::nullopt;
        case try_result::over_rate:
            return refusal{refusal_reason::plan_rate,
                           plans_[call.spec.plan].rate.next_change(at.now)};
        case try_result::over_concurrency:
            return refusal{refusal_reason::plan_concurrency, retry_when_withdrawn};
        case try_result::no_slot:
            break;
        }
    }
    const auto ticket = draw_ticket();
    const auto fence = call.fence;
    calls_.emplace(ticket, std::move(call));
    if (auto why = enter_queue(ticket, at, effects)) {
        calls_.erase(ticket);
        return why;
    }
    book_.note_request(key, {ticket, {}, fence});
    serve(at, effects);
    if (calls_.contains(ticket)) {
        reply(key, permit_answer::queued, nullptr, nullptr, at, effects);
    }
    return std::nullopt;
}

void service_schedule::on_reply(const peer_identity& from, const permit_reply& message, moment at,
                                dispatch_effects& effects)
{
    if (const auto owner = owners_.find(from.vm); owner != owners_.end()) {
        owner->second.hint = message.hint;
        owner->second.heard = at.now;
        owner->second.lost_at = {};
    }
    const auto answer = static_cast<permit_answer>(message.answer);
    const bool for_this_life = message.life == shared_.identity.self.life.value;
    const auto found = for_this_life ? asks_.find(message.request) : asks_.end();
    if (found == asks_.end()) {
        // A repeated reply for a permit in use must not give it back.
        if (answer == permit_answer::granted &&
            !held_permits_.contains(permit_id{message.permit})) {
            ++counts_.late_replies;
            permit_release back;
            back.request = message.request;
            back.permit = message.permit;
            back.service = service_;
            back.server = message.server;
            back.fence_us = to_unix_us(at.wall + hint_interest);
            back.result = static_cast<std::uint8_t>(call_result::cancelled);
            effects.messages.push_back(
                {from.vm, peer_message_kind::permit_release, encode_payload(back)});
        }
        return;
    }
    const auto ticket = found->second;
    auto& call = calls_.at(ticket);
    const auto item = std::ranges::find(call.asks, message.request, &permit_ask::request);
    if (item == call.asks.end() || item->owner != from.vm) {
        return;
    }
    switch (answer) {
    case permit_answer::granted:
        held_permits_.insert(permit_id{message.permit});
        settle(ticket,
               grant{permit_id{message.permit},
                     {service_, message.server},
                     message.address,
                     message.port,
                     call.fence,
                     from.vm},
               at, effects);
        return;
    case permit_answer::queued:
        item->queued = true;
        item->unanswered = 0;
        item->check_at = at.now + queued_refresh;
        checks_.emplace(item->check_at, ticket);
        return;
    case permit_answer::refused:
        asks_.erase(message.request);
        call.asks.erase(item);
        call.last_refusal = {static_cast<refusal_reason>(message.reason),
                             milliseconds{message.retry_after_ms}};
        call.refused_for_load |= call.last_refusal.reason == refusal_reason::deadline ||
                                 call.last_refusal.reason == refusal_reason::queue_full;
        if (call.asks.empty() && !call.queued_here) {
            route(ticket, at, effects);
        }
        return;
    }
}

void service_schedule::withdraw_request(const request_key& key, wall_time fence, moment at)
{
    const auto* known = book_.request(key);
    const request_state state = known == nullptr ? request_state{{}, {}, fence} : *known;
    book_.note_request(key, {{}, {}, state.fence});
    if (queue_.erase(state.waiting)) {
        calls_.erase(state.waiting);
    }
    if (const auto record = book_.take(state.permit)) {
        give_back(*record, {call_result::cancelled, {}, {}}, at);
    }
}

void service_schedule::on_release(const peer_identity& from, const permit_release& message,
                                  moment at, dispatch_effects& effects)
{
    const permit_id permit{message.permit};
    const auto fence = from_unix_us(message.fence_us);
    if (message.permit == 0) {
        withdraw_request({from, message.request}, fence, at);
    }
    else if (const auto record = book_.take(permit)) {
        give_back(*record, report_of(message), at);
    }
    else if (const auto moved = handed_over_.take(permit)) {
        forget_plan_use(moved->plan);
        forward_release(message, effects);
    }
    else if (message.hops > 0) {
        book_.note_early_release(permit, fence + fence_margin);
    }
    serve(at, effects);
}

void service_schedule::forward_release(permit_release message, dispatch_effects& effects)
{
    if (!view_ || message.hops >= most_release_hops) {
        return;
    }
    const auto owner = view_->owners.find({service_, message.server});
    if (owner == view_->owners.end() || owner->second == shared_.identity.self.vm) {
        return;
    }
    ++message.hops;
    effects.messages.push_back(
        {owner->second, peer_message_kind::permit_release, encode_payload(message)});
}

void service_schedule::holder_gone(const peer_identity& holder, wall_time wall)
{
    book_.shorten(holder, wall + dead_holder_grace);
    handed_over_.shorten(holder, wall + dead_holder_grace);
}

permit_hint service_schedule::hint_now(moment at) const
{
    return {service_, free_slots(at), lease_holds(at) ? usable(at) : 0,
            static_cast<std::uint32_t>(queue_.size())};
}

std::vector<outbound_hint> service_schedule::take_hints(moment at)
{
    std::vector<outbound_hint> result;
    std::erase_if(interested_,
                  [&](const auto& item) { return at.now - item.second > hint_interest; });
    if (interested_.empty() || at.now - hinted_at_ < hint_period) {
        return result;
    }
    const auto hint = hint_now(at);
    if (!differs(hint, last_hint_)) {
        return result;
    }
    last_hint_ = hint;
    hinted_at_ = at.now;
    std::ranges::transform(interested_ | std::views::keys, std::back_inserter(result),
                           [&](const std::string& vm) {
                               return outbound_hint{vm, hint};
                           });
    return result;
}

void service_schedule::on_hint(const peer_identity& from, const permit_hint& message, moment at,
                               dispatch_effects& effects)
{
    const auto owner = owners_.find(from.vm);
    if (owner == owners_.end()) {
        return;
    }
    owner->second.hint = message;
    owner->second.heard = at.now;
    if (message.free_slots > 0 && message.waiting == 0) {
        take_free_slots(from.vm, message.free_slots, at, effects);
    }
}

void service_schedule::take_free_slots(const std::string& owner, std::uint32_t free, moment at,
                                       dispatch_effects& effects)
{
    std::vector<std::pair<local_time, call_ticket>> movable;
    for (const auto& [ticket, call] : calls_) {
        const bool asked =
            std::ranges::find(call.asks, owner, &permit_ask::owner) != call.asks.end();
        const bool fits = has_part(owners_.at(owner), plans_[call.spec.plan]);
        if (!call.guest && !asked && fits && call.asks.size() < most_asks_at_once) {
            movable.emplace_back(call.spec.deadline, ticket);
        }
    }
    std::ranges::sort(movable);
    for (const auto& [deadline, ticket] : movable | std::views::take(free)) {
        ask(ticket, owner, at, effects);
    }
}

} // namespace sniperock

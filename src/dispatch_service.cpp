/** @file dispatch_service.cpp Grants, the queue and releases of one service. */
#include "dispatch_service.hpp"
#include "metrics.hpp"

#include <algorithm>
#include <ranges>

namespace sniperock {
namespace {

constexpr milliseconds retry_when_full{100};
constexpr milliseconds retry_without_servers{500};
/** Calls wait for a lost lease or a closed server that may be back within this time. */
constexpr milliseconds patience{1'000};
/** Plans looked at for one free slot, so that a call that avoids it does not hold it up. */
constexpr std::size_t heads_looked_at = 8;
/** Mean deviations kept free for running a call, on arrival and when its turn comes. */
constexpr double spreads_on_arrival = 4;
constexpr double spreads_in_turn = 1;
/** Cost of a call while its plan's slot time is unknown, in nanoseconds. */
constexpr double unknown_cost = 1e6;
constexpr std::uint32_t ticket_bits = 40;
constexpr std::uint32_t permit_counter_bits = 40;

milliseconds round_up(nanoseconds time)
{
    return std::max(std::chrono::ceil<milliseconds>(time), milliseconds{1});
}

} // namespace

service_schedule::service_schedule(std::string service, std::uint32_t number,
                                   dispatch_context& shared)
    : service_(std::move(service)), ticket_base_(std::uint64_t{number} << ticket_bits),
      shared_(shared), policy_(policy_registry::instance().make(shared.limits.policy)),
      random_(shared.limits.seed + number)
{
}

call_ticket service_schedule::draw_ticket()
{
    return call_ticket{ticket_base_ | next_ticket_++};
}

permit_id service_schedule::draw_permit()
{
    const std::uint64_t life = shared_.identity.self.life.value << permit_counter_bits;
    return permit_id{life | shared_.next_permit++};
}

server_state* service_schedule::find_server(const std::string& name) const
{
    const auto found = std::ranges::find_if(
        servers_, [&](const auto& server) { return server->entry.name == name; });
    return found == servers_.end() ? nullptr : found->get();
}

plan_state* service_schedule::find_plan(const std::string& name)
{
    if (!configured_) {
        return &plans_[name];
    }
    const auto found = plans_.find(name);
    return found == plans_.end() || !found->second.allowed ? nullptr : &found->second;
}

bool service_schedule::lease_holds(moment at) const
{
    return !policy_->uses_ownership() || at.now < shared_.lease_until.load();
}

std::uint32_t service_schedule::usable(moment at) const
{
    std::uint32_t sum = 0;
    for (const auto& server : servers_) {
        sum += usable_limit(*server, at.wall);
    }
    return sum;
}

std::uint32_t service_schedule::free_slots(moment at) const
{
    std::uint32_t sum = 0;
    for (const auto& server : servers_) {
        const auto limit = usable_limit(*server, at.wall);
        sum += limit > server->in_flight ? limit - server->in_flight : 0;
    }
    return lease_holds(at) ? sum : 0;
}

bool service_schedule::hopeful(moment at) const
{
    if (policy_->uses_ownership() && at.now >= shared_.lease_until.load() &&
        at.now - shared_.lease_until.load() > patience) {
        return false;
    }
    return std::ranges::any_of(servers_, [&](const auto& server) {
        return server->available && server->health.standing() != server_standing::draining &&
               server->closed_until <= at.wall + patience;
    });
}

std::uint32_t service_schedule::part(const limit_parts& parts, std::uint32_t whole,
                                     wall_time wall) const
{
    if (!policy_->uses_ownership()) {
        return whole;
    }
    std::uint32_t sum = 0;
    for (const auto& server : servers_) {
        const auto found = parts.find(server->entry.name);
        sum += found != parts.end() && wall >= server->limits_from ? found->second : 0;
    }
    return sum;
}

std::optional<service_schedule::try_result> service_schedule::over_limit(plan_state& plan,
                                                                         moment at) const
{
    const auto& rules = plan.in_force();
    if (rules.max_in_flight > 0 &&
        plan.in_flight >= part(rules.in_flight_parts, rules.max_in_flight, at.wall)) {
        return try_result::over_concurrency;
    }
    if (rules.max_rate > 0 &&
        !plan.rate.allows(part(rules.rate_parts, rules.max_rate, at.wall), at.now)) {
        return try_result::over_rate;
    }
    return std::nullopt;
}

nanoseconds service_schedule::peer_latency(const server_state& except)
{
    latencies_.clear();
    for (const auto& server : servers_) {
        if (server.get() != &except && server->limit.is_warm() &&
            server->health.latency() > nanoseconds{0}) {
            latencies_.push_back(server->health.latency());
        }
    }
    if (latencies_.empty()) {
        return nanoseconds{0};
    }
    const auto middle = latencies_.begin() + static_cast<std::ptrdiff_t>(latencies_.size() / 2);
    std::ranges::nth_element(latencies_, middle);
    return *middle;
}

server_state* service_schedule::choose_server(const call_spec& spec, bool heed_avoid, moment at)
{
    candidates_.clear();
    sights_.clear();
    for (const auto& server : servers_) {
        const bool avoided =
            heed_avoid && std::ranges::find(spec.avoid, server->entry.name) != spec.avoid.end();
        if (!avoided && can_take(*server, spec.kind, at.now, at.wall)) {
            candidates_.push_back(server.get());
            sights_.push_back(sight_of(*server));
        }
    }
    const auto chosen = policy_->choose(sights_, random_);
    return chosen ? candidates_[*chosen] : nullptr;
}

service_schedule::try_outcome service_schedule::try_slot(const waiting_call& call, moment at)
{
    auto* plan = find_plan(call.spec.plan);
    if (plan == nullptr || !lease_holds(at)) {
        return {};
    }
    if (const auto over = over_limit(*plan, at)) {
        return {*over, {}};
    }
    const auto& avoid = call.spec.avoid;
    const bool tried_all = std::ranges::all_of(server_domains_, [&](const auto& known) {
        return std::ranges::find(avoid, known.first) != avoid.end();
    });
    auto* server = choose_server(call.spec, !tried_all, at);
    if (server == nullptr) {
        return {};
    }
    ++server->in_flight;
    ++plan->in_flight;
    if (plan->in_force().max_rate > 0) {
        plan->rate.add(at.now);
    }
    const auto mean = plan->held.mean().count();
    queue_.charge(call.spec.plan, mean > 0 ? static_cast<double>(mean) : unknown_cost);
    const auto permit = draw_permit();
    permit_record record;
    record.permit = permit;
    record.server = server->entry.name;
    record.plan = call.spec.plan;
    record.holder = shared_.identity.self;
    record.fence = call.fence;
    record.start_by = std::min<wall_time>(call.fence, at.wall + longest_start);
    record.since = at.now;
    record.expires = false;
    if (call.guest) {
        record.holder = call.guest->from;
        record.request = call.guest->request;
        record.expires = true;
        ++counts_.granted_to_peers;
    }
    else {
        ++counts_.granted_here;
    }
    book_.add(record);
    return {try_result::granted, grant_of(record, *server)};
}

grant service_schedule::grant_of(const permit_record& record, const server_state& server) const
{
    return {record.permit,     {service_, record.server}, server.entry.address,
            server.entry.port, record.start_by,           {}};
}

std::optional<refusal> service_schedule::refuse_at_once(const call_spec& spec, moment at)
{
    if (configured_ && !in_config_) {
        return refusal{refusal_reason::unknown_service, {}};
    }
    if (find_plan(spec.plan) == nullptr) {
        return refusal{refusal_reason::no_allowance, {}};
    }
    if (spec.deadline <= at.now) {
        return refusal{refusal_reason::deadline, {}};
    }
    return std::nullopt;
}

call_ticket service_schedule::acquire(const call_spec& spec, grant_handler done, moment at,
                                      dispatch_effects& effects)
{
    if (const auto why = refuse_at_once(spec, at)) {
        count_refusal(*why);
        effects.answers.emplace_back(std::move(done), *why);
        return {};
    }
    const auto left = std::chrono::duration_cast<microseconds>(spec.deadline - at.now);
    waiting_call call;
    call.spec = spec;
    call.fence = at.wall + left;
    call.since = at.now;
    call.last_refusal = {refusal_reason::no_servers, retry_without_servers};
    if (queue_.heads(1).empty()) {
        auto tried = try_slot(call, at);
        if (tried.result == try_result::granted) {
            effects.answers.emplace_back(std::move(done), std::move(tried.slot));
            return {};
        }
        if (tried.result == try_result::over_rate) {
            call.last_refusal = {refusal_reason::plan_rate,
                                 find_plan(spec.plan)->rate.next_change(at.now)};
        }
    }
    call.done = std::move(done);
    const auto ticket = draw_ticket();
    calls_.emplace(ticket, std::move(call));
    route(ticket, at, effects);
    return calls_.contains(ticket) ? ticket : call_ticket{};
}

bool service_schedule::cancel(call_ticket ticket, moment at, dispatch_effects& effects)
{
    const auto found = calls_.find(ticket);
    if (found == calls_.end() || found->second.guest) {
        return false;
    }
    drop_asks(found->second, {}, effects);
    queue_.erase(ticket);
    calls_.erase(found);
    serve(at, effects);
    return true;
}

std::optional<refusal> service_schedule::too_late(const waiting_call& call, moment at)
{
    const auto& plan = plans_[call.spec.plan];
    const auto& rules = plan.in_force();
    queue_state state;
    state.ahead = queue_.position(call.spec.plan, call.spec.deadline);
    state.share = queue_.share(call.spec.plan);
    state.limit = usable(at);
    state.held = held_.mean();
    if (rules.max_in_flight > 0 && state.limit > 0) {
        const double most = part(rules.in_flight_parts, rules.max_in_flight, at.wall);
        state.share = std::min(state.share, most / state.limit);
    }
    const nanoseconds left = call.spec.deadline - at.now;
    const auto need = expected_wait(state) + time_to_run(plan.held, left, spreads_on_arrival);
    if (need <= left) {
        return std::nullopt;
    }
    return refusal{refusal_reason::deadline, round_up(need - left)};
}

std::optional<refusal> service_schedule::enter_queue(call_ticket ticket, moment at,
                                                     dispatch_effects& effects)
{
    auto& call = calls_.at(ticket);
    if (auto why = too_late(call, at)) {
        return why;
    }
    if (queue_.size() >= shared_.limits.queue_limit) {
        const auto victim = queue_.overflow(call.spec.plan);
        const refusal full{refusal_reason::queue_full, retry_when_full};
        if (!victim) {
            return full;
        }
        refuse(victim->ticket, full, at, effects);
    }
    call.queued_here = true;
    queue_.push({ticket, call.spec.plan, call.spec.deadline});
    return std::nullopt;
}

bool service_schedule::serve_head(const queued_call& head, moment at, dispatch_effects& effects)
{
    const auto& call = calls_.at(head.ticket);
    const nanoseconds left = call.spec.deadline - at.now;
    if (left < plans_[head.plan].held.bound(spreads_in_turn)) {
        refuse(head.ticket, {refusal_reason::deadline, round_up(held_.mean())}, at, effects);
        return true;
    }
    auto tried = try_slot(call, at);
    switch (tried.result) {
    case try_result::granted:
        settle(head.ticket, std::move(tried.slot), at, effects);
        return true;
    case try_result::over_rate:
    case try_result::over_concurrency:
        blocked_.insert(head.plan);
        queue_.set_blocked(head.plan, true);
        return true;
    case try_result::no_slot:
        break;
    }
    return false;
}

bool service_schedule::serve_one(moment at, dispatch_effects& effects)
{
    const bool any = std::ranges::any_of(servers_, [&](const auto& server) {
        return can_take(*server, call_class::safe, at.now, at.wall);
    });
    if (!any || !lease_holds(at)) {
        return false;
    }
    return std::ranges::any_of(queue_.heads(heads_looked_at), [&](const queued_call& head) {
        return serve_head(head, at, effects);
    });
}

void service_schedule::serve(moment at, dispatch_effects& effects)
{
    while (queue_.size() > 0 && serve_one(at, effects)) {
    }
}

void service_schedule::settle(call_ticket ticket, grant_result result, moment at,
                              dispatch_effects& effects)
{
    const auto found = calls_.find(ticket);
    waiting_call call = std::move(found->second);
    calls_.erase(found);
    queue_.erase(ticket);
    const auto* slot = std::get_if<grant>(&result);
    drop_asks(call, slot == nullptr ? std::string{} : slot->owner, effects);
    if (slot != nullptr) {
        observe_wait(call, at.now);
    }
    if (call.guest) {
        reply(*call.guest, slot != nullptr ? permit_answer::granted : permit_answer::refused, slot,
              std::get_if<refusal>(&result), at, effects);
        const auto permit = slot == nullptr ? permit_id{} : slot->permit;
        book_.note_request(*call.guest, {{}, permit, call.fence});
        return;
    }
    effects.answers.emplace_back(std::move(call.done), std::move(result));
}

void service_schedule::refuse(call_ticket ticket, const refusal& why, moment at,
                              dispatch_effects& effects)
{
    count_refusal(why);
    settle(ticket, why, at, effects);
}

void service_schedule::forget_plan_use(const std::string& plan)
{
    auto& state = plans_[plan];
    state.in_flight -= std::min(state.in_flight, 1U);
}

void service_schedule::give_back(const permit_record& record, const call_report& report, moment at)
{
    if (record.counts_for_plan) {
        forget_plan_use(record.plan);
    }
    const bool known_start = record.since != local_time{};
    if (known_start && report.result == call_result::answered) {
        const nanoseconds held = at.now - record.since;
        held_.add(held);
        plans_[record.plan].held.add(held);
    }
    if (auto* server = find_server(record.server)) {
        server->in_flight -= std::min(server->in_flight, 1U);
        const auto before = server->health.standing();
        if (policy_->uses_ownership()) {
            const bool cut = take_report(*server, report, peer_latency(*server), at.now);
            counts_.cold_cuts += cut ? 1 : 0;
        }
        else {
            server->health.on_call(report, at.now);
        }
        const bool suspended = before == server_standing::usable &&
                               server->health.standing() == server_standing::suspended;
        counts_.suspensions += suspended ? 1 : 0;
    }
    reconsider_limits(at);
}

void service_schedule::reconsider_limits(moment at)
{
    std::erase_if(blocked_, [&](const std::string& plan) {
        const bool free = !over_limit(plans_[plan], at);
        if (free) {
            queue_.set_blocked(plan, false);
        }
        return free;
    });
}

void service_schedule::release(const grant& used, const call_report& report, moment at,
                               dispatch_effects& effects)
{
    permit_release message;
    message.permit = used.permit.value;
    message.service = service_;
    message.server = used.server.server;
    message.fence_us = to_unix_us(used.fence);
    message.result = static_cast<std::uint8_t>(report.result);
    message.latency_ns = report.latency.count();
    message.server_error = report.server_error;
    if (report.load) {
        message.has_load = true;
        message.phase = static_cast<std::uint8_t>(report.load->phase);
        message.in_flight = report.load->in_flight;
        message.slots = report.load->slots;
    }
    if (!used.owner.empty()) {
        held_permits_.erase(used.permit);
        effects.messages.push_back(
            {used.owner, peer_message_kind::permit_release, encode_payload(message)});
        return;
    }
    if (const auto record = book_.take(used.permit)) {
        give_back(*record, report, at);
    }
    else if (const auto moved = handed_over_.take(used.permit)) {
        forget_plan_use(moved->plan);
        forward_release(std::move(message), effects);
    }
    serve(at, effects);
}

void service_schedule::tick(moment at, dispatch_effects& effects)
{
    for (const auto& call : queue_.take_due(at.now)) {
        refuse(call.ticket, {refusal_reason::deadline, round_up(held_.mean())}, at, effects);
    }
    while (!checks_.empty() && checks_.begin()->first <= at.now) {
        const auto ticket = checks_.begin()->second;
        checks_.erase(checks_.begin());
        if (calls_.contains(ticket)) {
            check_asks(ticket, at, effects);
        }
    }
    for (const auto& record : book_.take_expired(at.wall - fence_margin)) {
        ++counts_.expired_permits;
        give_back(record, {call_result::cancelled, {}, {}}, at);
    }
    for (const auto& record : handed_over_.take_expired(at.wall - fence_margin)) {
        forget_plan_use(record.plan);
    }
    book_.forget_requests(at.wall - fence_margin);
    if (settled_at_ && at.now >= *settled_at_) {
        settled_at_.reset();
        std::ranges::for_each(plans_, [](auto& plan) { plan.second.settling.reset(); });
    }
    reconsider_limits(at);
    leave_if_hopeless(at, effects);
    serve(at, effects);
}

bool service_schedule::needs_tick() const
{
    return !calls_.empty() || !book_.quiet() || !handed_over_.quiet() || settled_at_ ||
           !interested_.empty();
}

void service_schedule::count_refusal(const refusal& why)
{
    ++counts_.refused[static_cast<std::size_t>(why.reason)];
}

void service_schedule::observe_wait(const waiting_call& call, local_time now)
{
    if (shared_.measured == nullptr || call.guest) {
        return;
    }
    auto*& histogram = plans_[call.spec.plan].waits[static_cast<std::size_t>(call.spec.kind)];
    if (histogram == nullptr) {
        const metric_labels labels{{"plan", call.spec.plan},
                                   {"class", std::string{to_name(call.spec.kind)}}};
        histogram = &shared_.measured->latency("sniperock_queue_wait_seconds",
                                               "Time that granted calls waited for a slot", labels);
    }
    const std::chrono::duration<double> waited = now - call.since;
    histogram->Observe(waited.count());
}

service_status service_schedule::status(wall_time wall) const
{
    service_status result;
    result.service = service_;
    result.owned_servers = servers_.size();
    result.waiting = queue_.size();
    result.counts = counts_;
    for (const auto& [plan, state] : plans_) {
        result.waiting_by_plan[plan] = queue_.size_of(plan);
    }
    for (const auto& server : servers_) {
        const auto limit = usable_limit(*server, wall);
        result.slots += server->entry.slots;
        result.in_flight += server->in_flight;
        result.limit += limit;
        result.servers.push_back({server->entry.name, server->in_flight, limit, server->entry.slots,
                                  server->health.standing()});
    }
    return result;
}

} // namespace sniperock

/** @file dispatch_owned.cpp Ownership, configuration and probes of one service. */
#include "dispatch_service.hpp"

#include <algorithm>
#include <iterator>
#include <ranges>

namespace sniperock {
namespace {

/** A limit's part is used this long after it changed hands, when the former rate window is over. */
constexpr milliseconds rate_window_length{1'020};
/** By then every vm works with a configuration revision. */
constexpr seconds config_spread_time{15};

} // namespace

void service_schedule::gain(const gained_server& gained, moment at, dispatch_effects& effects)
{
    if (find_server(gained.entry.name) != nullptr) {
        return;
    }
    auto server = std::make_unique<server_state>(gained.entry, at.now);
    const auto& state = gained.state;
    server->last_probe = at.wall;
    if (gained.how != takeover::first) {
        server->limits_from = std::max(state.limits_from, at.wall + rate_window_length);
    }
    if (gained.how == takeover::fenced) {
        server->closed_until = gained.old_permits_until;
        server->started_until = at.wall + longest_start;
        server->limits_from = std::max(server->limits_from, gained.old_permits_until);
    }
    if (gained.how == takeover::handed_over) {
        server->limit.restore(state.limit);
        server->last_probe = state.last_probe;
        for (const auto& permit : state.outstanding) {
            if (!book_.take_early_release(permit.permit)) {
                permit_record record;
                record.permit = permit.permit;
                record.server = gained.entry.name;
                record.plan = permit.plan;
                record.holder = {permit.holder, {}};
                record.fence = permit.fence;
                record.counts_for_plan = false;
                book_.add(record);
                ++server->in_flight;
            }
        }
    }
    servers_.push_back(std::move(server));
    reconsider_limits(at);
    serve(at, effects);
}

std::optional<server_handover> service_schedule::give_up(const std::string& name, moment at,
                                                         dispatch_effects& effects)
{
    const auto* server = find_server(name);
    if (server == nullptr) {
        return std::nullopt;
    }
    server_handover state;
    state.server = {service_, name};
    state.limit = server->limit.current();
    state.last_probe = server->last_probe;
    state.limits_from = server->limits_from;
    if (server->closed_until > at.wall) {
        // Permits of an owner before this one may fill the server; their number is not known.
        const outstanding_permit unknown{permit_id{}, {}, server->closed_until, {}};
        state.outstanding.assign(server->entry.slots, unknown);
        for (auto& permit : state.outstanding) {
            permit.permit = draw_permit();
        }
    }
    std::erase_if(servers_, [&](const auto& item) { return item.get() == server; });
    for (auto& record : book_.take_server(name)) {
        state.outstanding.push_back({record.permit, record.holder.vm, record.fence, record.plan});
        if (record.counts_for_plan) {
            handed_over_.add(record);
        }
    }
    for (const auto& [plan, item] : plans_) {
        const auto& rules = item.in_force();
        const bool owes =
            rules.max_in_flight > 0 &&
            item.in_flight > part(rules.in_flight_parts, rules.max_in_flight, at.wall);
        if (owes) {
            const auto last = std::max(book_.latest_fence(plan), handed_over_.latest_fence(plan));
            state.limits_from = std::max(state.limits_from, last + fence_margin);
        }
    }
    leave_if_hopeless(at, effects);
    return state;
}

void service_schedule::set_owned(const std::vector<server_entry>& entries, moment at,
                                 dispatch_effects& effects)
{
    if (!policy_->uses_ownership()) {
        return;
    }
    std::vector<std::string> gone;
    for (const auto& server : servers_) {
        if (std::ranges::find(entries, server->entry.name, &server_entry::name) == entries.end()) {
            gone.push_back(server->entry.name);
        }
    }
    std::ranges::for_each(gone, [&](const std::string& name) { give_up(name, at, effects); });
    for (const auto& entry : entries) {
        gain({service_, entry, takeover::first, {}, {}}, at, effects);
    }
}

void service_schedule::set_view(std::shared_ptr<const ownership_view> view)
{
    view_ = std::move(view);
    std::map<std::string, owner_sight, std::less<>> owners;
    const auto first = view_->owners.lower_bound({service_, {}});
    for (auto at = first; at != view_->owners.end() && at->first.service == service_; ++at) {
        const auto& [key, vm] = *at;
        if (vm.empty() || vm == shared_.identity.self.vm) {
            continue;
        }
        auto& owner = owners[vm];
        const auto domain = server_domains_.find(key.server);
        owner.servers.insert(key.server);
        owner.same_domain |=
            domain != server_domains_.end() && domain->second == shared_.identity.failure_domain;
    }
    for (auto& [vm, owner] : owners) {
        if (const auto known = owners_.find(vm); known != owners_.end()) {
            owner.hint = known->second.hint;
            owner.heard = known->second.heard;
            owner.lost_at = known->second.lost_at;
        }
    }
    owners_ = std::move(owners);
}

void service_schedule::apply_servers(const service_entry* entry, const availability& out, moment at)
{
    server_domains_.clear();
    probe_rate_ = entry == nullptr ? 0 : entry->probe_rate;
    if (entry == nullptr) {
        std::ranges::for_each(servers_, [](auto& server) { server->available = false; });
        return;
    }
    for (const auto& item : entry->servers) {
        server_domains_[item.name] = item.failure_domain;
        if (!policy_->uses_ownership() && find_server(item.name) == nullptr) {
            servers_.push_back(std::make_unique<server_state>(item, at.now));
            // Without permits the cold limit is not kept: each vm knows of its own calls only.
            servers_.back()->limit.restore(item.slots);
        }
    }
    for (const auto& server : servers_) {
        const auto listed =
            std::ranges::find(entry->servers, server->entry.name, &server_entry::name);
        server->available =
            listed != entry->servers.end() && !out.domains_out.contains(listed->failure_domain);
        if (listed != entry->servers.end()) {
            server->entry = *listed;
            server->limit.resize(listed->slots, listed->cold_slots);
        }
    }
}

void service_schedule::apply_plans(const service_entry* entry,
                                   const std::vector<allowance>& allowed, moment at)
{
    std::ranges::for_each(plans_, [](auto& plan) { plan.second.allowed = false; });
    if (entry == nullptr) {
        return;
    }
    for (const auto& item : allowed) {
        auto& plan = plans_[item.plan];
        const auto rules = make_plan_rules(item, *entry);
        const bool limits_changed = rules.in_flight_parts != plan.rules.in_flight_parts ||
                                    rules.rate_parts != plan.rules.rate_parts;
        if (configured_ && limits_changed) {
            plan.settling = stricter(plan.in_force(), rules);
            settled_at_ = at.now + config_spread_time;
        }
        plan.rules = rules;
        plan.allowed = true;
        queue_.set_weight(item.plan, rules.weight);
    }
}

void service_schedule::refuse_disallowed(moment at, dispatch_effects& effects)
{
    std::vector<call_ticket> refused;
    for (const auto& [ticket, call] : calls_) {
        if (find_plan(call.spec.plan) == nullptr) {
            refused.push_back(ticket);
        }
    }
    for (const auto ticket : refused) {
        refuse(ticket, {refusal_reason::no_allowance, {}}, at, effects);
    }
}

void service_schedule::apply(const service_entry* entry, const std::vector<allowance>& allowed,
                             const availability& out, moment at, dispatch_effects& effects)
{
    apply_servers(entry, out, at);
    apply_plans(entry, allowed, at);
    configured_ = true;
    in_config_ = entry != nullptr;
    if (view_) {
        set_view(view_);
    }
    refuse_disallowed(at, effects);
    reconsider_limits(at);
    leave_if_hopeless(at, effects);
    serve(at, effects);
}

void service_schedule::leave_if_hopeless(moment at, dispatch_effects& effects)
{
    if (queue_.size() == 0 || hopeful(at)) {
        return;
    }
    std::vector<call_ticket> leaving;
    for (auto& [ticket, call] : calls_) {
        if (call.queued_here) {
            leaving.push_back(ticket);
        }
    }
    for (const auto ticket : leaving) {
        auto& call = calls_.at(ticket);
        queue_.erase(ticket);
        call.queued_here = false;
        if (call.guest) {
            refuse(ticket, call.last_refusal, at, effects);
        }
        else if (call.asks.empty()) {
            route(ticket, at, effects);
        }
    }
}

std::vector<probe_order> service_schedule::take_probes(moment at)
{
    std::vector<probe_order> orders;
    if (!policy_->uses_ownership() || !lease_holds(at) || probe_rate_ == 0 || servers_.empty()) {
        return orders;
    }
    const auto slot = probe_slot_at(probe_rate_, at.wall);
    if (!slot.open_at(at.wall)) {
        return orders;
    }
    for (const auto index : slot.turns(server_domains_.size())) {
        auto* payer = find_server(
            std::next(server_domains_.begin(), static_cast<std::ptrdiff_t>(index))->first);
        if (payer == nullptr || payer->last_probe >= slot.start) {
            continue;
        }
        std::vector<probe_need> needs;
        std::ranges::transform(servers_, std::back_inserter(needs), [&](const auto& server) {
            return need_of(*server, at.now, at.wall);
        });
        if (const auto wanted = most_needed(needs)) {
            auto& target = *servers_[*wanted];
            target.probed_at = at.now;
            payer->last_probe = at.wall;
            ++counts_.probes;
            orders.push_back(
                {{service_, target.entry.name}, target.entry.address, target.entry.port});
        }
    }
    return orders;
}

void service_schedule::on_probe(const std::string& name, const std::optional<load_report>& report,
                                moment at, dispatch_effects& effects)
{
    auto* server = find_server(name);
    if (server == nullptr) {
        return;
    }
    if (!report) {
        server->health.on_probe_failure(at.now);
        server->limit.cut(at.now);
        return;
    }
    const bool closed = server->closed_until > at.wall;
    if (closed && at.wall >= server->started_until && report->in_flight == 0) {
        server->closed_until = at.wall;
    }
    const bool came_back = server->health.on_probe(*report, at.now);
    if (came_back || report->phase == server_phase::cold) {
        counts_.cold_cuts += server->limit.cut(at.now) ? 1 : 0;
    }
    serve(at, effects);
}

} // namespace sniperock

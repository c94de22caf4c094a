/** @file ownership_table.cpp Gains and losses of servers as epochs and configurations change. */
#include "ownership_table.hpp"

#include <algorithm>
#include <iterator>
#include <ranges>

namespace sniperock {
namespace {

/** What decides owners besides the epoch: where servers stand and who is out. */
bool same_assignment(const config_snapshot& left, const config_snapshot& right)
{
    const auto places = [](const config_snapshot& snapshot) {
        std::map<server_key, std::string> result;
        for (const auto& service : snapshot.services) {
            for (const auto& server : service.servers) {
                result[{service.name, server.name}] = server.failure_domain;
            }
        }
        return result;
    };
    return left.out.vms_out == right.out.vms_out && left.out.domains_out == right.out.domains_out &&
           places(left) == places(right);
}

} // namespace

void ownership_table::set_snapshot(std::shared_ptr<const config_snapshot> snapshot)
{
    if (snapshot->revision <= snapshot_->revision) {
        return;
    }
    if (!same_assignment(*snapshot_, *snapshot)) {
        assigned_ = snapshot->revision;
    }
    snapshot_ = std::move(snapshot);
    snapshot_changed_ = true;
}

config_revision ownership_table::revision() const
{
    return snapshot_->revision;
}

ownership_table::candidate_set ownership_table::candidates_of(const epoch_membership& epoch) const
{
    candidate_set set;
    set.number = epoch.number;
    set.spread = epoch.spread;
    for (const auto& member : epoch.members) {
        if (!snapshot_->out.vms_out.contains(member.vm)) {
            set.candidates.push_back({member.vm, member.failure_domain});
            set.identities[member.vm] = member.identity();
        }
    }
    return set;
}

peer_identity ownership_table::owner_in(const candidate_set& set, const server_key& key,
                                        const std::string& failure_domain)
{
    const auto vm = choose_owner(key, failure_domain, set.candidates, set.spread);
    return vm.empty() ? peer_identity{} : set.identities.at(vm);
}

std::map<server_key, ownership_table::owned_server>
ownership_table::assign(const epoch_object& epoch) const
{
    const auto current = candidates_of(epoch.current);
    std::vector<candidate_set> earlier;
    std::ranges::transform(epoch.unfenced, std::back_inserter(earlier),
                           [this](const auto& membership) { return candidates_of(membership); });
    std::map<server_key, owned_server> result;
    for (const auto& service : snapshot_->services) {
        for (const auto& server : service.servers) {
            if (snapshot_->out.domains_out.contains(server.failure_domain)) {
                continue;
            }
            const server_key key{service.name, server.name};
            owned_server item;
            item.service = service.name;
            item.entry = server;
            item.assigned_in = epoch.current.number;
            item.owner = owner_in(current, key, server.failure_domain);
            for (const auto& set : earlier) {
                item.former.push_back(owner_in(set, key, server.failure_domain));
            }
            result.emplace(key, std::move(item));
        }
    }
    return result;
}

bool ownership_table::keeps_holding(const owned_server& before, const owned_server& after,
                                    const epoch_machine& machine) const
{
    const auto self = machine.self().identity();
    if (!before.held || after.owner != self || !machine.is_member()) {
        return false;
    }
    // Every epoch since the one in which it was held must have given it to this vm too.
    const auto& epoch = machine.epoch();
    std::uint64_t expected = number_.value + 1;
    for (std::size_t at = 0; at < epoch.unfenced.size(); ++at) {
        if (epoch.unfenced[at].number <= number_) {
            continue;
        }
        if (epoch.unfenced[at].number.value != expected++ || after.former[at] != self) {
            return false;
        }
    }
    return epoch.current.number == number_ || epoch.current.number.value == expected;
}

void ownership_table::carry_over(owned_server& item, const server_key& key, local_time now) const
{
    const auto before = servers_.find(key);
    if (before == servers_.end()) {
        item.added = snapshot_changed_ && !first_snapshot_ && !recent_.contains(key);
        item.back = recent_.contains(key);
        return;
    }
    item.back = before->second.back;
    if (item.assigned_in == before->second.assigned_in) {
        item.added = before->second.added;
        item.moved_from = before->second.moved_from;
        item.moved_at = before->second.moved_at;
    }
    if (snapshot_changed_ && before->second.owner != item.owner) {
        item.moved_from = before->second.owner;
        item.moved_at = now;
    }
}

void ownership_table::note_recent(local_time now)
{
    for (const auto& [key, item] : servers_) {
        recent_[key] = now;
    }
    std::erase_if(recent_,
                  [&](const auto& item) { return now - item.second > settings_.permit_life; });
}

std::vector<server_key> ownership_table::drop(const epoch_machine& machine, local_time now)
{
    if (!snapshot_changed_ && machine.epoch().current.number == number_) {
        return {};
    }
    auto next = assign(machine.epoch());
    std::vector<server_key> lost;
    note_recent(now);
    for (auto& [key, item] : next) {
        carry_over(item, key, now);
        item.waiting = item.owner == machine.self().identity();
    }
    for (const auto& [key, before] : servers_) {
        const auto after = next.find(key);
        if (after != next.end() && keeps_holding(before, after->second, machine)) {
            after->second.held = true;
            after->second.waiting = false;
            after->second.settled_below = machine.epoch().current.number;
        }
        else if (before.held) {
            lost.push_back(key);
        }
    }
    servers_ = std::move(next);
    number_ = machine.epoch().current.number;
    first_snapshot_ = first_snapshot_ && !snapshot_changed_;
    snapshot_changed_ = false;
    return lost;
}

std::vector<gained_server> ownership_table::gain(const epoch_machine& machine, local_time now,
                                                 wall_time wall_now)
{
    std::vector<gained_server> gained;
    if (!machine.is_member() || !machine.assignment_agreed()) {
        return gained;
    }
    for (auto& [key, item] : servers_) {
        if (!item.waiting || !machine.take(item.former, item.settled_below) ||
            awaits_handover(item, machine, now)) {
            continue;
        }
        gained.push_back(make_gain(key, item, machine, wall_now));
        item.held = true;
        item.waiting = false;
        item.added = false;
        item.back = false;
        item.moved_from.reset();
        item.settled_below = number_;
        handovers_.erase(key);
    }
    return gained;
}

const ownership_table::received_handover*
ownership_table::find_handover(const server_key& key, const owned_server& item,
                               const epoch_machine& machine) const
{
    const auto found = handovers_.find(key);
    if (found == handovers_.end()) {
        return nullptr;
    }
    const auto& handover = found->second;
    if (item.moved_from) {
        const bool fits = handover.from == *item.moved_from && handover.number >= number_;
        return fits ? &handover : nullptr;
    }
    const auto& unfenced = machine.epoch().unfenced;
    for (std::size_t at = unfenced.size(); at-- > 0;) {
        if (item.former[at] != machine.self().identity()) {
            const bool fits =
                handover.from == item.former[at] && handover.number > unfenced[at].number;
            return fits ? &handover : nullptr;
        }
    }
    return nullptr;
}

bool ownership_table::awaits_handover(const owned_server& item, const epoch_machine& machine,
                                      local_time now) const
{
    const server_key key{item.service, item.entry.name};
    if (find_handover(key, item, machine) != nullptr) {
        return false;
    }
    if (item.moved_from && now < item.moved_at + settings_.handover_wait) {
        return true;
    }
    const auto& unfenced = machine.epoch().unfenced;
    for (std::size_t at = 0; at < unfenced.size(); ++at) {
        const auto moved = machine.moved_on(item.former[at], unfenced[at].number);
        if (moved && !machine.is_fenced(unfenced[at].number) &&
            now < *moved + settings_.handover_wait) {
            return true;
        }
    }
    return false;
}

gained_server ownership_table::make_gain(const server_key& key, const owned_server& item,
                                         const epoch_machine& machine, wall_time wall_now) const
{
    gained_server gain;
    gain.service = item.service;
    gain.entry = item.entry;
    gain.state.server = key;
    const bool nobody_before = number_.value == 1 && !item.moved_from && !item.back;
    if (const auto* handover = find_handover(key, item, machine)) {
        gain.how = takeover::handed_over;
        gain.state = handover->state;
    }
    else if (item.added || nobody_before) {
        gain.how = takeover::first;
    }
    else {
        gain.how = takeover::fenced;
        gain.old_permits_until = wall_now + settings_.permit_life;
    }
    return gain;
}

void ownership_table::add_handover(const peer_identity& from, epoch_number number,
                                   const std::vector<server_handover>& servers)
{
    for (const auto& state : servers) {
        if (holds(state.server)) {
            continue;
        }
        auto& known = handovers_[state.server];
        if (known.number <= number) {
            known = {from, number, state};
        }
    }
}

std::optional<peer_identity> ownership_table::owner_of(const server_key& server) const
{
    const auto found = servers_.find(server);
    if (found == servers_.end() || found->second.owner.vm.empty()) {
        return std::nullopt;
    }
    return found->second.owner;
}

bool ownership_table::holds(const server_key& server) const
{
    const auto found = servers_.find(server);
    return found != servers_.end() && found->second.held;
}

std::shared_ptr<const ownership_view> ownership_table::view() const
{
    auto result = std::make_shared<ownership_view>();
    result->epoch = number_;
    for (const auto& [key, item] : servers_) {
        if (!item.owner.vm.empty()) {
            result->owners.emplace(key, item.owner.vm);
        }
    }
    return result;
}

std::size_t ownership_table::held_count() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(servers_ | std::views::values, &owned_server::held));
}

std::size_t ownership_table::waiting_count() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(servers_ | std::views::values, &owned_server::waiting));
}

} // namespace sniperock

/** @file member_table.cpp Failure detection among entry vms. */
#include "member_table.hpp"

#include <algorithm>
#include <ranges>
#include <set>

namespace sniperock {

member_table::member_table(epoch_settings settings, epoch_member self, local_time now)
    : settings_(settings), self_(std::move(self)), last_tick_(now), listening_since_(now),
      newest_of_self_(self_.life)
{
}

bool member_table::hear(const peer_identity& from, const heartbeat& message, local_time now)
{
    if (from.vm == self_.vm) {
        newest_of_self_ = std::max(newest_of_self_, from.life);
        return false;
    }
    auto& view = views_[from.vm];
    if (from.life < view.life) {
        return false;
    }
    if (view.life < from.life) {
        view = {};
        view.life = from.life;
    }
    view.heard = now;
    view.failure_domain = message.failure_domain;
    view.peer_endpoint = message.peer_endpoint;
    view.leaving = view.leaving || message.leaving;
    if (message.question >= view.question) {
        view.question = message.question;
        view.question_epoch = message.epoch;
        view.silent = message.silent;
    }
    if (message.epoch > view.adopted) {
        view.adopted = message.epoch;
        view.adopted_seen = now;
    }
    view.revision = std::max(view.revision, message.revision);
    view.assigned = std::max(view.assigned, message.assigned);
    return true;
}

void member_table::list(const std::vector<vm_record>& records, local_time now)
{
    std::set<std::string> present;
    for (const auto& record : records) {
        present.insert(record.name);
        const incarnation life{record.incarnation};
        if (record.name == self_.vm) {
            newest_of_self_ = std::max(newest_of_self_, life);
            continue;
        }
        auto& known = listed_[record.name];
        known.missing_since.reset();
        if (record.incarnation >= known.record.incarnation) {
            known.record = record;
        }
    }
    for (auto& [name, known] : listed_) {
        if (!present.contains(name) && !known.missing_since) {
            known.missing_since = now;
        }
    }
}

void member_table::notice_self(const epoch_membership& epoch)
{
    for (const auto& member : epoch.members) {
        if (member.vm == self_.vm) {
            newest_of_self_ = std::max(newest_of_self_, member.life);
        }
    }
}

void member_table::notice_time(local_time now)
{
    if (now - last_tick_ > settings_.suspicion / 2) {
        listening_since_ = now;
    }
    last_tick_ = now;
}

void member_table::epoch_changed(const epoch_membership& before, const epoch_membership& after,
                                 local_time now)
{
    std::erase_if(held_down_until_, [now](const auto& item) { return item.second < now; });
    for (const auto& member : before.members) {
        const auto* view = find(member.identity());
        const bool leaving = view != nullptr && view->leaving;
        if (!has_member(after, member.identity()) && !leaving) {
            held_down_until_[member.identity()] = now + settings_.hold_down;
        }
    }
}

const member_view* member_table::find(const std::string& vm) const
{
    const auto found = views_.find(vm);
    return found == views_.end() ? nullptr : &found->second;
}

member_view* member_table::find(const std::string& vm)
{
    const auto found = views_.find(vm);
    return found == views_.end() ? nullptr : &found->second;
}

const member_view* member_table::find(const peer_identity& who) const
{
    const auto* view = find(who.vm);
    return view != nullptr && view->life == who.life ? view : nullptr;
}

bool member_table::is_silent(const peer_identity& who, local_time now) const
{
    const auto* view = find(who);
    const auto heard = view == nullptr ? listening_since_ : std::max(view->heard, listening_since_);
    return now - heard >= settings_.suspicion;
}

bool member_table::is_gone(const peer_identity& who, local_time now) const
{
    if (const auto* view = find(who.vm); view != nullptr && view->life > who.life) {
        return true;
    }
    const auto listed = listed_.find(who.vm);
    if (listed == listed_.end()) {
        return false;
    }
    const incarnation life{listed->second.record.incarnation};
    const auto& missing = listed->second.missing_since;
    const bool missing_for_good = missing && now - *missing >= settings_.list_lag;
    return life > who.life || (life == who.life && missing_for_good);
}

std::vector<std::uint32_t> member_table::silent_members(const epoch_membership& epoch,
                                                        local_time now) const
{
    std::vector<std::uint32_t> places;
    for (std::uint32_t place = 0; place < epoch.members.size(); ++place) {
        const auto who = epoch.members[place].identity();
        if (who != self_.identity() && is_silent(who, now)) {
            places.push_back(place);
        }
    }
    return places;
}

bool member_table::reported_silent(const epoch_membership& epoch, std::size_t place,
                                   local_time now) const
{
    const auto reports = [&](const epoch_member& member) {
        if (member.identity() == self_.identity()) {
            return true;
        }
        const auto* view = find(member.identity());
        return view != nullptr && !is_silent(member.identity(), now) &&
               view->question_epoch == epoch.number &&
               std::ranges::find(view->silent, place) != view->silent.end();
    };
    const auto count = std::ranges::count_if(epoch.members, reports);
    return static_cast<std::size_t>(count) >= majority_of(epoch);
}

bool member_table::must_drop(const epoch_membership& epoch, std::size_t place, local_time now) const
{
    const auto who = epoch.members[place].identity();
    if (who == self_.identity()) {
        return false;
    }
    const auto* view = find(who);
    if (is_gone(who, now) || (view != nullptr && view->leaving)) {
        return true;
    }
    if (!is_silent(who, now)) {
        return false;
    }
    const auto listed = listed_.find(who.vm);
    const bool listed_leaving = listed != listed_.end() &&
                                listed->second.record.incarnation == who.life.value &&
                                listed->second.record.state == vm_state::leaving;
    return listed_leaving || reported_silent(epoch, place, now);
}

bool member_table::may_join(const std::string& vm, const member_view& view, local_time now) const
{
    const peer_identity who{vm, view.life};
    const auto held = held_down_until_.find(who);
    const bool held_down = held != held_down_until_.end() && now < held->second;
    return !view.leaving && !held_down && !is_silent(who, now) && !is_gone(who, now);
}

wanted_members member_table::wanted(const epoch_membership& epoch, bool self_leaving,
                                    local_time now) const
{
    wanted_members result;
    for (std::size_t place = 0; place < epoch.members.size(); ++place) {
        const auto& member = epoch.members[place];
        const bool self_out = member.vm == self_.vm && (self_leaving || member.life != self_.life);
        if (self_out || must_drop(epoch, place, now)) {
            result.urgent = true;
            continue;
        }
        result.members.push_back(member);
    }
    const auto present = [&](const std::string& vm) {
        return std::ranges::find(result.members, vm, &epoch_member::vm) != result.members.end();
    };
    for (const auto& [vm, view] : views_) {
        if (!present(vm) && may_join(vm, view, now)) {
            result.members.push_back({vm, view.life, view.failure_domain, view.peer_endpoint});
        }
    }
    if (!self_leaving && !present(self_.vm)) {
        result.members.push_back(self_);
    }
    std::ranges::sort(result.members);
    return result;
}

std::size_t member_table::rank(const epoch_membership& epoch, local_time now) const
{
    const auto alive = [&](const epoch_member& member) {
        const auto* view = find(member.identity());
        return view != nullptr && !view->leaving && !is_silent(member.identity(), now);
    };
    const bool member = has_member(epoch, self_.identity());
    const auto before = std::ranges::count_if(epoch.members, [&](const epoch_member& other) {
        return alive(other) && (!member || other.vm < self_.vm);
    });
    if (member) {
        return static_cast<std::size_t>(before);
    }
    const auto joining = std::ranges::count_if(views_, [&](const auto& item) {
        const peer_identity who{item.first, item.second.life};
        return item.first < self_.vm && !has_member(epoch, who) && !is_silent(who, now);
    });
    return static_cast<std::size_t>(before + joining);
}

std::vector<peer_address> member_table::peers(const epoch_membership& epoch) const
{
    std::map<std::string, std::string> endpoints;
    for (const auto& [name, known] : listed_) {
        if (!known.missing_since) {
            endpoints[name] = known.record.peer_endpoint;
        }
    }
    for (const auto& member : epoch.members) {
        endpoints[member.vm] = member.peer_endpoint;
    }
    for (const auto& [vm, view] : views_) {
        endpoints[vm] = view.peer_endpoint;
    }
    endpoints.erase(self_.vm);
    std::vector<peer_address> result;
    result.reserve(endpoints.size());
    for (const auto& [vm, endpoint] : endpoints) {
        result.push_back({vm, endpoint});
    }
    return result;
}

} // namespace sniperock

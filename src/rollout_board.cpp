/** @file rollout_board.cpp What a VM knows of the roll-outs of all services. */
#include "rollout_board.hpp"

#include "event_type.hpp"
#include "hash_func.hpp"
#include "rollout_share.hpp"

#include <algorithm>
#include <cmath>
#include <ranges>

namespace sniperock {
namespace {

/** An order reaches a VM within this time after the first upstream of its version: twice the time
 * that a follower's watch may take. Afterwards the version needs no order. */
constexpr seconds unordered_hold{5};
/** Upstreams that stop with a success leave the registry within this time. */
constexpr seconds replaced_hold{15};
/** Reports of VMs older than this are no recent evidence any more. */
constexpr milliseconds report_lifetime{1500};
/** After the end of an order, the same one in a later era of the store is a new one. */
constexpr seconds rewritten_within{60};
/** Bounds on what is kept. */
constexpr std::size_t max_services = 100;
constexpr std::size_t max_past = 1000;
constexpr std::size_t max_versions = 64;
constexpr std::size_t max_routes = 16;
constexpr std::size_t max_sources = 2000;
/** Shorter times count as this: they depend on the network, and on whether a connection was open,
 * more than on the version. */
constexpr double least_time_ms = 10;
/** Thousandths of a binary logarithm. */
constexpr double log_unit = 1000;

milliseconds elapsed(local_time from, local_time now)
{
    return std::chrono::duration_cast<milliseconds>(now - from);
}

std::uint64_t set_bit(std::string_view upstream_id)
{
    constexpr std::uint64_t bits = 64;
    return std::uint64_t{1} << (stable_hash(upstream_id) % bits);
}

void add_to(version_tally& tally, const upstream_entry& item, const rollout_outcome& outcome)
{
    ++tally.ran;
    tally.used_set |= set_bit(item.id);
    if (outcome.failed) {
        ++tally.failed;
        tally.failed_set |= set_bit(item.id);
    }
    if (outcome.time_ms) {
        ++tally.timed;
        tally.log_time += static_cast<std::uint64_t>(
            std::log2(std::max(*outcome.time_ms, least_time_ms)) * log_unit);
    }
}

} // namespace

milliseconds rollout_record::age(local_time now) const
{
    return elapsed(ordered_at, now);
}

milliseconds rollout_record::state_age(local_time now) const
{
    return elapsed(state_since, now);
}

void rollout_board::apply_listing(const std::vector<stored_rollout>& orders, local_time now)
{
    listed_ = true;
    std::vector<std::string> missing;
    for (const auto& [service, item] : entries_) {
        const bool listed = std::ranges::any_of(
            orders, [&](const stored_rollout& stored) { return stored.order.service == service; });
        if (!listed && item.revision) {
            missing.push_back(service);
        }
    }
    std::ranges::for_each(missing, [&](const auto& service) { withdraw(service, now); });
    std::ranges::for_each(orders, [&](const auto& stored) { apply(stored, now); });
}

/** Whether the operator has written a known order again, to a store that was restored from a copy
 * without it. Its time began when it was written first. */
bool rollout_board::is_rewritten(const followed& known, const stored_rollout& stored,
                                 local_time now)
{
    return known.read_in && stored.revision.era > *known.read_in &&
           stored.order.target_version == known.order.target_version &&
           stored.order.duration == known.order.duration &&
           known.age(now) < known.order.duration + rewritten_within;
}

void rollout_board::apply(const stored_rollout& stored, local_time now)
{
    const auto found = entries_.find(stored.order.service);
    const bool is_new = found == entries_.end() || found->second.order.id != stored.order.id;
    if (is_new &&
        (past_.contains(stored.order.id) || (found != entries_.end() && found->second.revision &&
                                             *found->second.revision >= stored.revision))) {
        return;
    }
    if (is_new && found == entries_.end() && entries_.size() >= max_services) {
        return;
    }
    const bool goes_on =
        !is_new || (found != entries_.end() && is_rewritten(found->second, stored, now));
    auto& item = goes_on ? found->second : start(stored.order, now, now);
    if (is_new && goes_on) {
        retire(item.order.id);
        item.order = stored.order;
        log_order(item, now);
    }
    if (item.revision && *item.revision > stored.revision) {
        return;
    }
    // Heartbeats tell durations up to a limit.
    item.order.duration = stored.order.duration;
    item.revision = stored.revision;
    item.read_in = stored.revision.era;
    item.stored_state = stored.state;
    item.withdrawn = false;
    if (stored.state && is_final(*stored.state)) {
        advance(item, *stored.state, now, now);
    }
}

void rollout_board::withdraw(std::string_view service, local_time now)
{
    const auto found = entries_.find(service);
    if (found == entries_.end() || found->second.withdrawn) {
        return;
    }
    auto& item = found->second;
    const bool undecided = item.undecided();
    item.withdrawn = true;
    item.revision.reset();
    if (undecided) {
        log_event(event::rollout_changed, {{"service", item.order.service},
                                           {"version", item.order.target_version},
                                           {"state", "withdrawn"},
                                           {"ms", std::to_string(item.age(now).count())}});
    }
}

/** Whether a report is about an order that this VM does not know and that replaces what it knows.
 */
bool rollout_board::accepts(const rollout_report& report, local_time now) const
{
    if (past_.contains(report.order.id) || report.order.service.empty()) {
        return false;
    }
    const auto found = entries_.find(report.order.service);
    if (found == entries_.end()) {
        return entries_.size() < max_services;
    }
    const auto& known = found->second;
    const bool is_newer = report.age < known.age(now);
    return is_newer && !(known.revision && known.undecided());
}

void rollout_board::receive(const rollout_report& report, local_time now)
{
    if (!enabled()) {
        return;
    }
    auto* item = find_followed(report.order.id);
    if (item == nullptr) {
        if (!accepts(report, now)) {
            return;
        }
        item = &start(report.order, now - report.age, now);
    }
    item->ordered_at = std::min(item->ordered_at, now - report.age);
    advance(*item, report.state, now - report.state_age, now);
    if (report.source && *report.source != self_ &&
        (item->others.contains(*report.source) || item->others.size() < max_sources)) {
        auto& source = item->others[*report.source];
        source.routes = report.routes;
        source.stable_running = report.stable_running;
        source.received_at = now;
    }
}

void rollout_board::enter(const rollout_id& id, rollout_state state, local_time now)
{
    if (auto* item = find_followed(id)) {
        advance(*item, state, now, now);
    }
}

rollout_board::followed& rollout_board::start(const rollout_order& order, local_time ordered_at,
                                              local_time now)
{
    auto& item = entries_[order.service];
    retire(item.order.id);
    item = {};
    item.order = order;
    item.ordered_at = ordered_at;
    item.state_since = ordered_at;
    log_order(item, now);
    return item;
}

/** Reports of an order that was replaced are not followed any more. */
void rollout_board::retire(const rollout_id& id)
{
    if (id != rollout_id{} && past_.size() < max_past) {
        past_.insert(id);
    }
}

void rollout_board::log_order(const followed& item, local_time now)
{
    const auto& order = item.order;
    log_event(event::rollout_ordered, {{"service", order.service},
                                       {"version", order.target_version},
                                       {"order", hex_text(order.id.value)},
                                       {"duration_ms", std::to_string(order.duration.count())},
                                       {"age_ms", std::to_string(item.age(now).count())}});
}

void rollout_board::advance(followed& item, rollout_state state, local_time since, local_time now)
{
    if (state == item.state) {
        item.state_since = std::min(item.state_since, since);
        return;
    }
    if (state < item.state) {
        return;
    }
    item.state = state;
    item.state_since = since;
    if (state == rollout_state::succeeded) {
        const auto found = versions_.find(item.order.service);
        if (found != versions_.end()) {
            for (const auto& version : found->second | std::views::keys) {
                if (version != item.order.target_version) {
                    item.replaced_versions.insert(version);
                }
            }
        }
    }
    log_event(event::rollout_changed, {{"service", item.order.service},
                                       {"version", item.order.target_version},
                                       {"state", std::string{to_name(state)}},
                                       {"ms", std::to_string(item.age(now).count())}});
}

rollout_board::followed* rollout_board::find_followed(const rollout_id& id)
{
    const auto found = std::ranges::find_if(
        entries_, [&](const auto& item) { return item.second.order.id == id; });
    return found == entries_.end() ? nullptr : &found->second;
}

const rollout_record* rollout_board::find(const rollout_id& id) const
{
    const auto found = std::ranges::find_if(
        entries_, [&](const auto& item) { return item.second.order.id == id; });
    return found == entries_.end() ? nullptr : &found->second;
}

std::vector<const rollout_record*> rollout_board::records() const
{
    std::vector<const rollout_record*> all;
    std::ranges::transform(entries_ | std::views::values, std::back_inserter(all),
                           [](const followed& item) { return &item; });
    return all;
}

/** Makes room for another version: forgets the one that has been gone from the registry longest. */
void rollout_board::forget_version(version_map& known, local_time now)
{
    const auto longest_gone = std::ranges::min_element(
        known, {}, [](const auto& item) { return item.second.present_at; });
    if (longest_gone != known.end() && longest_gone->second.present_at < now) {
        known.erase(longest_gone);
    }
}

void rollout_board::observe_versions(const std::string& service,
                                     const std::vector<upstream_ptr>& items, local_time now)
{
    if (!enabled() || items.empty()) {
        return;
    }
    auto& known = versions_[service];
    // Of the versions that are there, none is known: nothing else could serve the requests, and a
    // roll-out would have left the old version in place.
    const auto order = entries_.find(service);
    bool none_known = true;
    for (const auto& item : items) {
        const bool is_target =
            order != entries_.end() && order->second.order.target_version == item->entry.version;
        none_known = none_known && !is_target;
        if (const auto found = known.find(item->entry.version); found != known.end()) {
            found->second.present_at = now;
            none_known = none_known && !found->second.known;
        }
    }
    for (const auto& item : items) {
        const auto& version = item->entry.version;
        if (!known.contains(version) && known.size() >= max_versions) {
            forget_version(known, now);
        }
        if (known.size() < max_versions) {
            known.try_emplace(version, known_version{now, none_known, now});
        }
    }
    for (auto& [version, state] : known) {
        state.known = state.known || now - state.seen_at >= unordered_hold ||
                      (none_known && state.present_at == now);
    }
}

bool rollout_board::is_known_version(const upstream_entry& item, local_time now) const
{
    if (item.version.empty()) {
        return true;
    }
    const auto service = versions_.find(item.service);
    if (service == versions_.end()) {
        // Nothing was observed yet; the VM starts.
        return true;
    }
    const auto version = service->second.find(item.version);
    if (!listed_ && service->second.size() > 1 && !entries_.contains(item.service)) {
        // Which of them was ordered is read within moments of the start.
        return std::ranges::all_of(service->second | std::views::values, [now](const auto& seen) {
            return now - seen.seen_at >= unordered_hold;
        });
    }
    return version != service->second.end() &&
           (version->second.known || now - version->second.seen_at >= unordered_hold);
}

double rollout_board::share_of(std::string_view service, local_time now) const
{
    const auto found = entries_.find(service);
    if (found == entries_.end() || found->second.withdrawn) {
        return 0;
    }
    const auto& item = found->second;
    if (item.state == rollout_state::running && item.age(now) >= item.order.duration) {
        // The deadline has passed without a verdict.
        return 0;
    }
    return target_share(settings_.max_share, item.state, item.state_age(now));
}

version_choice rollout_board::choose(std::string_view service, random_engine& random,
                                     local_time now) const
{
    if (!entries_.contains(service)) {
        return version_choice::any;
    }
    const auto share = share_of(service, now);
    if (share >= 1) {
        return version_choice::target;
    }
    std::uniform_real_distribution<double> part{0, 1};
    return share > 0 && part(random) < share ? version_choice::sample : version_choice::stable;
}

version_choice rollout_board::choose_for_repeat(std::string_view service, local_time now) const
{
    if (!entries_.contains(service)) {
        return version_choice::any;
    }
    return share_of(service, now) >= 1 ? version_choice::target : version_choice::stable;
}

bool rollout_board::admits(const upstream_entry& entry, version_choice choice, local_time now) const
{
    if (!enabled()) {
        return true;
    }
    const auto found = entries_.find(entry.service);
    if (found == entries_.end()) {
        return is_known_version(entry, now);
    }
    const auto& item = found->second;
    const bool is_target = entry.version == item.order.target_version;
    if (item.state == rollout_state::succeeded) {
        const bool replaced = item.replaced_versions.contains(entry.version) &&
                              now - item.state_since < replaced_hold;
        return is_target || (!replaced && is_known_version(entry, now));
    }
    switch (choice) {
    case version_choice::sample:
    case version_choice::target:
        return is_target && share_of(entry.service, now) > 0;
    default:
        return !is_target && is_known_version(entry, now);
    }
}

void rollout_board::record(const upstream_entry& entry, std::string_view route,
                           const rollout_outcome& outcome, local_time now)
{
    const auto found = entries_.find(entry.service);
    if (found == entries_.end() || !found->second.undecided()) {
        return;
    }
    auto& item = found->second;
    const auto key = stable_hash(route);
    if (!item.own.contains(key) && item.own.size() >= max_routes) {
        return;
    }
    auto& evidence = item.own[key];
    const auto slot = now.time_since_epoch() / slot_length;
    const auto first_unused =
        std::max(evidence.newest_slot + 1, slot - static_cast<std::int64_t>(recent_slots) + 1);
    for (auto unused = first_unused; unused <= slot; ++unused) {
        evidence.slots.at(static_cast<std::size_t>(unused) % recent_slots) = {};
    }
    evidence.newest_slot = slot;
    const auto version = entry.version == item.order.target_version ? &rollout_evidence::target
                                                                    : &rollout_evidence::stable;
    add_to(evidence.total.*version, entry, outcome);
    add_to(evidence.slots.at(static_cast<std::size_t>(slot) % recent_slots).*version, entry,
           outcome);
}

std::vector<route_evidence> rollout_board::own_evidence(const followed& item, local_time now) const
{
    const auto current = now.time_since_epoch() / slot_length;
    std::vector<route_evidence> routes;
    for (const auto& [route, own] : item.own) {
        route_evidence seen{route, {}, own.total};
        for (auto slot = current - static_cast<std::int64_t>(recent_slots) + 1;
             slot <= own.newest_slot; ++slot) {
            seen.recent += own.slots.at(static_cast<std::size_t>(slot) % recent_slots);
        }
        routes.push_back(seen);
    }
    return routes;
}

std::optional<rollout_report> rollout_board::report_of(const rollout_id& id, bool with_evidence,
                                                       local_time now) const
{
    const auto found = std::ranges::find_if(
        entries_, [&](const auto& item) { return item.second.order.id == id; });
    if (found == entries_.end() || found->second.withdrawn) {
        return std::nullopt;
    }
    const auto& item = found->second;
    rollout_report report{item.order, item.age(now), item.state, item.state_age(now)};
    if (with_evidence) {
        report.source = self_;
        report.routes = own_evidence(item, now);
    }
    return report;
}

std::vector<rollout_report> rollout_board::reports(std::size_t max_reports, local_time now) const
{
    std::vector<rollout_report> all;
    for (const auto& item : entries_ | std::views::values) {
        // An order that ended long ago is read from the store by those that start.
        constexpr std::chrono::minutes told_for{2};
        if (all.size() < max_reports && item.age(now) < item.order.duration + told_for) {
            if (auto report = report_of(item.order.id, false, now)) {
                all.push_back(std::move(*report));
            }
        }
    }
    return all;
}

std::vector<route_evidence> rollout_board::evidence_of(const rollout_id& id, local_time now) const
{
    const auto found = std::ranges::find_if(
        entries_, [&](const auto& item) { return item.second.order.id == id; });
    if (found == entries_.end()) {
        return {};
    }
    const auto& item = found->second;
    std::map<std::uint64_t, route_evidence> sums;
    const auto add = [&sums](const std::vector<route_evidence>& routes, bool is_recent) {
        for (const auto& seen : routes) {
            auto& sum = sums[seen.route];
            sum.route = seen.route;
            sum.total += seen.total;
            if (is_recent) {
                sum.recent += seen.recent;
            }
        }
    };
    add(own_evidence(item, now), true);
    for (const auto& source : item.others | std::views::values) {
        add(source.routes, now - source.received_at < report_lifetime);
    }
    std::vector<route_evidence> all;
    std::ranges::copy(sums | std::views::values, std::back_inserter(all));
    return all;
}

std::uint64_t rollout_board::reported_stable_running(const rollout_id& id, local_time now) const
{
    const auto found = std::ranges::find_if(
        entries_, [&](const auto& item) { return item.second.order.id == id; });
    std::uint64_t running = 0;
    if (found != entries_.end()) {
        for (const auto& source : found->second.others | std::views::values) {
            running += now - source.received_at < report_lifetime ? source.stable_running : 0;
        }
    }
    return running;
}

} // namespace sniperock

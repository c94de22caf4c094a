/** @file upstream_registry.cpp Local copy of the store's registry of upstreams. */
#include "upstream_registry.hpp"

#include <algorithm>
#include <ranges>

namespace sniperock {
namespace {

/** Unannounced removals of more than this share at once are treated as lapsed leases. */
constexpr double mass_expiry_share = 0.5;
/** Fewer removals than this are never treated as a mass expiry. */
constexpr std::size_t min_mass_expiry = 4;
/** Upstreams whose entries lapsed in an outage register again within this time, and a restored
 * store is not older. */
constexpr seconds dropped_lifetime{60};

/** True if the entry is what the same process wrote before it began to drain. A stale watch may
 * deliver it behind a newer page of the listing. */
bool precedes_drain(const upstream_entry& entry, const upstream_entry& known)
{
    return known.draining && !entry.draining && entry.start_time_ms == known.start_time_ms &&
           entry.sequence < known.sequence;
}

/** True if a restored store shows an entry that is older than the one that was known before. */
bool is_from_older_copy(const upstream_entry& entry, const upstream_entry& known)
{
    if (entry.era <= known.era) {
        return false;
    }
    if (entry.start_time_ms != known.start_time_ms) {
        return entry.start_time_ms < known.start_time_ms;
    }
    // An upstream that drains does not become ready again.
    return entry.sequence < known.sequence || (known.draining && !entry.draining);
}

/** True if a restored store shows the entry of a process whose entry was removed before, and that
 * has not written since. */
bool may_have_left(const upstream_entry& entry, const upstream_entry& dropped)
{
    return entry.era > dropped.era && entry.start_time_ms <= dropped.start_time_ms &&
           entry.sequence <= dropped.sequence;
}

} // namespace

void upstream_registry::replace_all(const std::vector<upstream_entry>& entries, local_time now)
{
    std::set<std::string_view> listed;
    for (const auto& entry : entries) {
        listed.insert(entry.id);
        put(entry, now);
    }
    std::vector<std::string> missing;
    std::ranges::copy_if(by_id_ | std::views::keys, std::back_inserter(missing),
                         [&](const std::string& id) { return !listed.contains(id); });
    std::ranges::for_each(missing, [&](const std::string& id) { remove(id, now); });
}

void upstream_registry::put(const upstream_entry& entry, local_time now)
{
    const auto found = by_id_.find(entry.id);
    if (found == by_id_.end()) {
        add(entry, now);
        return;
    }
    auto& item = *found->second;
    if (is_from_older_copy(entry, item.entry) || precedes_drain(entry, item.entry)) {
        item.lapsed_until.reset();
        return;
    }
    const bool unchanged = item.entry.start_time_ms == entry.start_time_ms &&
                           item.entry.service == entry.service &&
                           item.entry.endpoint == entry.endpoint && !item.removed;
    if (!unchanged) {
        // Another incarnation under the same id: the state of the old one does not apply.
        drop(entry.id, now);
        add(entry, now);
        return;
    }
    item.lapsed_until.reset();
    if (entry.sequence > item.entry.sequence) {
        item.held_until.reset();
    }
    item.entry = entry;
    item.cold_until = std::max(item.cold_until, now + entry.cold_remaining);
}

void upstream_registry::add(const upstream_entry& entry, local_time now)
{
    auto item = std::make_shared<upstream>();
    item->entry = entry;
    item->cold_until = now + entry.cold_remaining;
    std::erase_if(dropped_, [now](const auto& old) {
        return now - old.second.dropped_at >= dropped_lifetime;
    });
    if (const auto old = dropped_.extract(entry.id)) {
        const auto& dropped = old.mapped();
        item->cold_sends = dropped.cold_sends;
        if (dropped.entry.start_time_ms == entry.start_time_ms) {
            item->limit = dropped.limit;
        }
        if (may_have_left(entry, dropped.entry)) {
            item->held_until = now + hold_time();
        }
    }
    by_service_[entry.service].push_back(item);
    by_id_.emplace(entry.id, std::move(item));
}

void upstream_registry::remove(std::string_view id, local_time now)
{
    const auto found = by_id_.find(id);
    if (found == by_id_.end()) {
        return;
    }
    auto& item = *found->second;
    if (item.lapsed_until) {
        return;
    }
    if (may_have_lapsed(item, now)) {
        // After an outage, the grace period is the one that began with the store's recovery; if
        // this VM saw no outage, it is half as long.
        item.lapsed_until = now < grace_until_ ? grace_until_ : now + return_grace_ / 2;
        return;
    }
    drop(found->first, now);
}

/** True if the entry may have been removed because its upstream could not reach the store. */
bool upstream_registry::may_have_lapsed(const upstream& item, local_time now)
{
    if (item.entry.draining) {
        return false;
    }
    if (now < grace_until_) {
        return true;
    }
    unannounced_removals_.add(now);
    const auto recently_removed = unannounced_removals_.count(now);
    const auto known = by_id_.size() + recently_removed - 1;
    return recently_removed >= min_mass_expiry &&
           static_cast<double>(recently_removed) > mass_expiry_share * static_cast<double>(known);
}

void upstream_registry::expire(local_time now)
{
    std::vector<std::string> expired;
    for (const auto& [id, item] : by_id_) {
        if (item->lapsed_until && *item->lapsed_until <= now) {
            expired.push_back(id);
        }
        if (item->held_until && *item->held_until <= now) {
            item->held_until.reset();
        }
    }
    std::erase_if(lost_evacuations_, [now](const auto& item) { return item.second <= now; });
    std::ranges::for_each(expired, [&](const std::string& id) { drop(id, now); });
}

void upstream_registry::set_evacuated_after_restore(std::set<std::string, std::less<>> domains,
                                                    local_time now)
{
    for (const auto& domain : evacuated_) {
        if (!domains.contains(domain)) {
            lost_evacuations_.insert_or_assign(domain, now + return_grace_);
        }
    }
    evacuated_ = std::move(domains);
}

void upstream_registry::mark_removed(upstream& item)
{
    item.removed = true;
    item.idle.clear();
}

void upstream_registry::drop(const std::string& id, local_time now)
{
    const auto found = by_id_.find(id);
    const auto item = found->second;
    dropped_.insert_or_assign(id,
                              dropped_upstream{item->cold_sends, item->entry, item->limit, now});
    by_id_.erase(found);
    mark_removed(*item);
    std::erase(by_service_[item->entry.service], item);
}

const std::vector<upstream_ptr>& upstream_registry::of_service(std::string_view service) const
{
    static const std::vector<upstream_ptr> none;
    const auto found = by_service_.find(service);
    return found == by_service_.end() ? none : found->second;
}

} // namespace sniperock

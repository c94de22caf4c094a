/** @file upstream_registry.hpp Local copy of the store's registry of upstreams. */
#pragma once

#include "upstream_type.hpp"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace sniperock {

/**
 * This VM's copy of the registry.
 *
 * An upstream whose entry disappears is removed, unless its lease may have lapsed because the store
 * was unavailable: it is then kept for a grace period after the store has recovered, and removed if
 * the entry is still missing at its end.
 *
 * A store restored from a copy may show an upstream that has left as ready. Its entry is held back
 * for twice the grace period, within which its removal or its state is written again.
 */
class upstream_registry {
public:
    /** @param return_grace how long lapsed entries are kept after the store has recovered. */
    explicit upstream_registry(milliseconds return_grace) : return_grace_(return_grace) {}

    /** The store has recovered from an outage; entries missing from now on may have lapsed. */
    void store_recovered(local_time now) { grace_until_ = now + return_grace_; }
    /** Replaces all entries by a complete listing. */
    void replace_all(const std::vector<upstream_entry>& entries, local_time now);
    /** Adds or updates an entry. One that a restored store shows in an older state than is known
     * changes nothing. */
    void put(const upstream_entry& entry, local_time now);
    /** Handles an entry that was removed from the store or has become unreadable. */
    void remove(std::string_view id, local_time now);
    /** Ends grace periods: drops lapsed entries, and allows the use of held ones; ends
     * evacuations that a restored store has lost. */
    void expire(local_time now);
    /** Excludes an upstream from use until it registers again, for example when a different one
     * answers at its address. */
    void mark_removed(upstream& item);

    /** Failure domains to which no request may be sent. */
    void set_evacuated(std::set<std::string, std::less<>> domains)
    {
        evacuated_ = std::move(domains);
    }
    /** Sets the evacuated domains of a restored store, which may have lost the newest: those that
     * it no longer names stay evacuated for the grace period. */
    void set_evacuated_after_restore(std::set<std::string, std::less<>> domains, local_time now);
    /** An operator has taken a domain back. */
    void end_evacuation(std::string_view domain)
    {
        const auto found = lost_evacuations_.find(domain);
        if (found != lost_evacuations_.end()) {
            lost_evacuations_.erase(found);
        }
    }
    [[nodiscard]] bool evacuated(std::string_view domain) const
    {
        return evacuated_.contains(domain) || lost_evacuations_.contains(domain);
    }
    /** All upstreams of a service, in any state. */
    [[nodiscard]] const std::vector<upstream_ptr>& of_service(std::string_view service) const;
    /** True if neither the registry nor an operator excludes the upstream from new requests. */
    [[nodiscard]] bool usable(const upstream& item) const
    {
        return !item.removed && !item.held_until && !item.entry.draining &&
               !evacuated(item.entry.failure_domain);
    }
    /** The upstream with an id; null if its entry is not known. */
    [[nodiscard]] upstream* find(std::string_view id) const
    {
        const auto found = by_id_.find(id);
        return found == by_id_.end() ? nullptr : found->second.get();
    }
    /** Calls @p visit(name, upstreams) for each service. */
    template <typename Visit>
    void for_each_service(Visit visit) const
    {
        for (const auto& [name, items] : by_service_) {
            visit(name, items);
        }
    }
    [[nodiscard]] std::size_t size() const { return by_id_.size(); }
    /** Calls @p visit(upstream&) for each entry. */
    template <typename Visit>
    void for_each(Visit visit) const
    {
        for (const auto& [id, item] : by_id_) {
            visit(*item);
        }
    }

private:
    /** Removals within this time count as one event: the store drops lapsed leases in one sweep. */
    static constexpr milliseconds mass_expiry_window{1000};

    void add(const upstream_entry& entry, local_time now);
    /** How long an entry is held that may be one of an upstream that has left. */
    [[nodiscard]] milliseconds hold_time() const { return 2 * return_grace_; }
    void drop(const std::string& id, local_time now);
    bool may_have_lapsed(const upstream& item, local_time now);

    milliseconds return_grace_;
    local_time grace_until_;
    std::map<std::string, upstream_ptr, std::less<>> by_id_;
    std::map<std::string, std::vector<upstream_ptr>, std::less<>> by_service_;
    std::set<std::string, std::less<>> evacuated_;
    /** Evacuations that a restored store may have lost, and when they end unless written again. */
    std::map<std::string, local_time, std::less<>> lost_evacuations_;
    /** What is kept of a dropped entry, in case its upstream registers again. */
    struct dropped_upstream {
        /** Recent requests while it was cold: a probe reveals a restart before the registry does,
         * and one limit applies to both. */
        sliding_count cold_sends;
        upstream_entry entry;
        /** Holds as long as the upstream's process runs. */
        std::shared_ptr<upstream_limit> limit;
        local_time dropped_at;
    };
    /** By id. */
    std::map<std::string, dropped_upstream, std::less<>> dropped_;
    /** Removals in the last second of upstreams that had not announced that they drain. */
    sliding_count unannounced_removals_{mass_expiry_window};
};

} // namespace sniperock

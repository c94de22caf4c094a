/** @file upstream_registry.hpp The upstreams that may be used, from the store's registry. */
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
 * An entry that disappears is gone, unless it can have lapsed because the store was away: such an
 * entry is kept for a grace after the store's return, and is gone if it is still missing then.
 */
class upstream_registry {
public:
    /** @param return_grace how long lapsed entries are kept after the store's return. */
    explicit upstream_registry(milliseconds return_grace) : return_grace_(return_grace) {}

    /** The store answers again after an outage; what is missing from now on may have lapsed. */
    void store_recovered(local_time now) { grace_until_ = now + return_grace_; }
    /** Takes over a whole listing. */
    void replace_all(const std::vector<upstream_entry>& entries, local_time now);
    /** An entry was written. */
    void put(const upstream_entry& entry, local_time now);
    /** An entry was removed, or can no longer be read. */
    void remove(std::string_view id, local_time now);
    /** Drops lapsed entries whose grace is over. */
    void expire(local_time now);
    /** An upstream said that it is not the one at this address: it is gone until it registers. */
    void disown(upstream& item);

    /** Failure domains to which nothing may be sent. */
    void set_evacuated(std::set<std::string, std::less<>> domains)
    {
        evacuated_ = std::move(domains);
    }
    [[nodiscard]] bool evacuated(std::string_view domain) const
    {
        return evacuated_.contains(domain);
    }
    /** Every upstream of a service, whatever its state. */
    [[nodiscard]] const std::vector<upstream_ptr>& of_service(std::string_view service) const;
    /** May take requests now as far as registry and operators are concerned. */
    [[nodiscard]] bool usable(const upstream& item) const
    {
        return !item.gone && !item.entry.draining && !evacuated(item.entry.failure_domain);
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
    /** Removals within it count as one: the store drops lapsed leases in one sweep. */
    static constexpr milliseconds sudden_window{1000};

    void add(const upstream_entry& entry, local_time now);
    void drop(const std::string& id);
    bool may_have_lapsed(const upstream& item, local_time now);

    milliseconds return_grace_;
    local_time grace_until_;
    std::map<std::string, upstream_ptr, std::less<>> by_id_;
    std::map<std::string, std::vector<upstream_ptr>, std::less<>> by_service_;
    std::set<std::string, std::less<>> evacuated_;
    /** What was lately sent to upstreams while they were cold, by the ids of dropped entries: a
     * probe tells of a return before the registry does, and the limit is one for both. */
    std::map<std::string, sliding_count, std::less<>> dropped_cold_sends_;
    /** Removals without notice in the last second. */
    sliding_count sudden_{sudden_window};
};

} // namespace sniperock

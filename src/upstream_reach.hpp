/** @file upstream_reach.hpp Detects that no upstream of a service can be reached from this VM. */
#pragma once

#include "upstream_registry.hpp"

#include <functional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sniperock {

/** Time without an answer after which silent upstreams show that none can be reached; some ten
 * times as long as a probe takes. */
inline constexpr milliseconds min_silence{100};

/**
 * True if several upstreams in a row were silent and none of @p items has answered since. Each VM
 * sees this for itself: the upstreams may be down, or the VM may be cut off from them.
 */
bool none_reachable(std::span<const upstream_ptr> items, const upstream_registry& registry,
                    local_time now);

/** The services that this VM cannot reach; updated by the periodic work of the process. */
class upstream_reach {
public:
    /** @param probe probes an upstream whatever its backoff is, to notice that it is back. */
    upstream_reach(const upstream_registry& registry,
                   std::function<void(const upstream_ptr&)> probe);

    /** Updates the state and probes unreachable services. @return true if the state has changed. */
    bool update(local_time now);
    /** True if no upstream of the service can be reached. */
    [[nodiscard]] bool unreachable(std::string_view service) const
    {
        return services_.contains(service);
    }
    /** True if no upstream of any service can be reached. */
    [[nodiscard]] bool isolated() const { return isolated_; }
    /** The services that cannot be reached. */
    [[nodiscard]] const std::set<std::string, std::less<>>& services() const { return services_; }

private:
    [[nodiscard]] std::vector<upstream_ptr> all_upstreams() const;
    void probe_unreachable();

    const upstream_registry& registry_;
    std::function<void(const upstream_ptr&)> probe_;
    std::set<std::string, std::less<>> services_;
    bool isolated_ = false;
    local_time next_probe_;
    /** Selects other upstreams each time. */
    std::size_t probe_offset_ = 0;
};

} // namespace sniperock

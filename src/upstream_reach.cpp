/** @file upstream_reach.cpp Detects that no upstream of a service can be reached from this VM. */
#include "upstream_reach.hpp"

#include "event_type.hpp"

#include <algorithm>
#include <ranges>
#include <vector>

namespace sniperock {
namespace {

/** Silent upstreams that show that none can be reached, if there are so many. */
constexpr std::size_t min_silent = 3;
/** Interval at which upstreams of an unreachable service are probed, and their number. */
constexpr milliseconds probe_interval{400};
constexpr std::size_t probes_at_once = 3;

} // namespace

bool none_reachable(std::span<const upstream_ptr> items, const upstream_registry& registry,
                    local_time now)
{
    auto usable = items | std::views::filter(
                              [&](const upstream_ptr& item) { return registry.usable(*item); });
    local_time last_answer{};
    std::size_t count = 0;
    for (const auto& item : usable) {
        ++count;
        last_answer = std::max(last_answer, item->answered_at);
    }
    const auto silent =
        static_cast<std::size_t>(std::ranges::count_if(usable, [&](const upstream_ptr& item) {
            return item->silent_since && *item->silent_since > last_answer;
        }));
    return count > 0 && silent >= std::min(min_silent, count) && now - last_answer >= min_silence;
}

upstream_reach::upstream_reach(const upstream_registry& registry,
                               std::function<void(const upstream_ptr&)> probe)
    : registry_(registry), probe_(std::move(probe))
{
}

bool upstream_reach::update(local_time now)
{
    std::set<std::string, std::less<>> unreachable;
    registry_.for_each_service(
        [&](const std::string& service, std::span<const upstream_ptr> items) {
            if (none_reachable(items, registry_, now)) {
                unreachable.insert(service);
            }
        });
    const bool isolated = !unreachable.empty() && none_reachable(all_upstreams(), registry_, now);
    const bool changed = unreachable != services_ || isolated != isolated_;
    if (changed) {
        std::string names;
        for (const auto& name : unreachable) {
            names += (names.empty() ? "" : ",") + name;
        }
        log_event(event::reach_changed,
                  {{"unreachable", names}, {"isolated", isolated ? "1" : "0"}});
    }
    services_ = std::move(unreachable);
    isolated_ = isolated;
    if (!services_.empty() && now >= next_probe_) {
        next_probe_ = now + probe_interval;
        probe_unreachable();
    }
    return changed;
}

std::vector<upstream_ptr> upstream_reach::all_upstreams() const
{
    std::vector<upstream_ptr> all;
    registry_.for_each_service([&](const std::string&, std::span<const upstream_ptr> items) {
        all.insert(all.end(), items.begin(), items.end());
    });
    return all;
}

void upstream_reach::probe_unreachable()
{
    for (const auto& service : services_) {
        const auto& items = registry_.of_service(service);
        const auto count = std::min(probes_at_once, items.size());
        for (std::size_t i = 0; i < count; ++i) {
            const auto& item = items[probe_offset_++ % items.size()];
            if (registry_.usable(*item)) {
                probe_(item);
            }
        }
    }
}

} // namespace sniperock

/** @file choice_yield.cpp Less urgent requests yield while more urgent ones are refused. */
#include "choice_yield.hpp"

#include <algorithm>
#include <cmath>

namespace sniperock {
namespace {

/** Weight of the newest request: some ten make up the share. */
constexpr double newest_weight = 0.1;
/** Without requests the share fades in this time, as bursts do. */
constexpr seconds fade{1};
/** A single refusal is no shortage: up to this share nobody yields. */
constexpr double tolerated_share = 0.1;
/** Beyond it less urgent requests yield this many times as often as more urgent ones are refused.
 */
constexpr double strength = 3;
/** But never more often than this, however long the shortage lasts: the least urgent kind keeps 0.4
 * of its attempts, well over the quarter below which a kind counts as starved. */
constexpr double most_yielding = 0.6;
/** Services that are remembered; operators add and remove services all the time. */
constexpr std::size_t most_services = 1024;

} // namespace

bool should_shed(double urgent_refused, random_engine& random)
{
    std::uniform_real_distribution<double> chance{0, 1};
    const double part = std::min((urgent_refused - tolerated_share) * strength, most_yielding);
    return chance(random) < part;
}

double load_shedder::urgent_refusal_ratio(const std::string& service, int priority,
                                          local_time now) const
{
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return 0;
    }
    double most = 0;
    for (const auto& [other, item] : found->second) {
        if (other < priority) {
            most = std::max(most, share_at(item, now));
        }
    }
    return most;
}

void load_shedder::record(const std::string& service, int priority, bool refused, local_time now)
{
    if (services_.size() >= most_services && !services_.contains(service)) {
        services_.clear();
    }
    auto& item = services_[service][priority];
    const double share = share_at(item, now);
    item = {share + newest_weight * ((refused ? 1 : 0) - share), now};
}

double load_shedder::share_at(const refusals& item, local_time now)
{
    const std::chrono::duration<double> passed = now - item.noted;
    return item.share * std::exp(-passed / std::chrono::duration<double>{fade});
}

} // namespace sniperock

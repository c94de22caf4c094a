/** @file choice_estimate.cpp Estimates a route's requests by a moving average over its answers. */
#include "choice_estimate.hpp"

#include <algorithm>

namespace sniperock {
namespace {

/** Weight of the newest answer in the moving average, which thus covers about 20 answers. */
constexpr double newest_weight = 0.05;
/** Work assumed before the first answer, as a fraction of the target latency: targets leave room
 * for slow periods. */
constexpr double initial_target_fraction = 0.35;
/** Maximum estimate of work at normal speed, as a fraction of the target latency. Without
 * this limit, an estimate that is too high could cause every request to be refused, so that no new
 * answer would ever correct it. An upstream on its last slot takes 1.6 times as long and must still
 * be accepted. */
constexpr double max_target_fraction = 0.6;
/** Maximum number of routes with an average; bounded because operators add and remove routes at any
 * time. */
constexpr std::size_t max_routes = 4096;

} // namespace

request_estimate choice_estimates::for_route(const route& item)
{
    const auto found = routes_.find(item.name);
    const bool known = found != routes_.end() && found->second.known;
    const auto target = static_cast<double>(item.target_latency.count());
    const double work =
        known ? found->second.work_ms : std::max(target * initial_target_fraction, 1.0);
    return {target > 0 ? std::min(work, target * max_target_fraction) : work,
            known ? found->second.answer_bytes : 0, is_repeatable(item.kind)};
}

void choice_estimates::update(const route& item, double latency_ms, double slowness,
                              double answer_bytes)
{
    if (routes_.size() >= max_routes && !routes_.contains(item.name)) {
        routes_.clear();
    }
    auto& current = routes_[item.name];
    const double work = latency_ms / std::max(slowness, 1.0);
    const double weight = current.known ? newest_weight : 1;
    current.work_ms += weight * (work - current.work_ms);
    current.answer_bytes += weight * (answer_bytes - current.answer_bytes);
    current.known = true;
}

} // namespace sniperock

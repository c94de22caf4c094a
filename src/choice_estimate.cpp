/** @file choice_estimate.cpp What a route's requests usually take, learned from their answers. */
#include "choice_estimate.hpp"

#include <algorithm>

namespace sniperock {
namespace {

/** Weight of the newest answer; some twenty answers make up the average. */
constexpr double newest_weight = 0.05;
/** Work that is assumed before the first answer: targets leave room for a slow moment. */
constexpr double first_guess_of_target = 0.35;
/** Work at usual speed is taken to be no more than this part of the target. If answers seem to say
 * otherwise, and every request were refused for it, nothing would ever be learned anew; an upstream
 * on its last slot takes 1.6 times as long and still has to be worth a try. */
constexpr double most_of_target = 0.6;
/** Routes that are remembered; operators add and remove routes all the time. */
constexpr std::size_t most_routes = 4096;

} // namespace

request_estimate choice_estimates::for_route(const route& item)
{
    const auto found = routes_.find(item.name);
    const bool known = found != routes_.end() && found->second.known;
    const auto target = static_cast<double>(item.target_latency.count());
    const double work =
        known ? found->second.work_ms : std::max(target * first_guess_of_target, 1.0);
    return {target > 0 ? std::min(work, target * most_of_target) : work,
            known ? found->second.answer_bytes : 0, is_repeatable(item.kind)};
}

void choice_estimates::update(const route& item, double took_ms, double slowness,
                              double answer_bytes)
{
    if (routes_.size() >= most_routes && !routes_.contains(item.name)) {
        routes_.clear();
    }
    auto& now = routes_[item.name];
    const double work = took_ms / std::max(slowness, 1.0);
    const double weight = now.known ? newest_weight : 1;
    now.work_ms += weight * (work - now.work_ms);
    now.answer_bytes += weight * (answer_bytes - now.answer_bytes);
    now.known = true;
}

} // namespace sniperock

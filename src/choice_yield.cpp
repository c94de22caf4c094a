/** @file choice_yield.cpp Sheds less urgent requests while more urgent ones are refused. */
#include "choice_yield.hpp"

#include <algorithm>
#include <cmath>

namespace sniperock {
namespace {

/** Weight of the newest request in the moving average, which thus covers about 10 requests. */
constexpr double newest_weight = 0.1;
/** Time constant with which the average decays without requests: bursts subside about as fast. */
constexpr seconds decay_time{1};
/** Refusal ratio up to which nothing is shed: a single refusal does not indicate a shortage. */
constexpr double tolerated_ratio = 0.1;
/** Factor from the refusal ratio above the tolerated one to the probability that a less urgent
 * request is shed. */
constexpr double shed_factor = 3;
/** Maximum probability of shedding, however long the shortage lasts: the least urgent kind keeps
 * 0.4 of its attempts, well over the quarter below which a kind counts as starved. */
constexpr double max_shed_probability = 0.6;
/** Maximum number of services with averages; bounded because operators add and remove services at
 * any time. */
constexpr std::size_t max_services = 1024;
/** Maximum number of averages of a service: several times the accounts of a large configuration. */
constexpr std::size_t max_urgencies = 1024;

} // namespace

bool should_shed(double urgent_refusal_ratio, random_engine& random)
{
    std::uniform_real_distribution<double> uniform{0, 1};
    const double probability =
        std::min((urgent_refusal_ratio - tolerated_ratio) * shed_factor, max_shed_probability);
    return uniform(random) < probability;
}

double load_shedder::urgent_refusal_ratio(const std::string& service, request_urgency urgency,
                                          local_time now) const
{
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return 0;
    }
    double max_ratio = 0;
    for (const auto& [other, average] : found->second) {
        if (other < urgency) {
            max_ratio = std::max(max_ratio, decayed_ratio(average, now));
        }
    }
    return max_ratio;
}

void load_shedder::record(const std::string& service, request_urgency urgency, bool refused,
                          local_time now)
{
    if (services_.size() >= max_services && !services_.contains(service)) {
        services_.clear();
    }
    auto& averages = services_[service];
    if (averages.size() >= max_urgencies && !averages.contains(urgency)) {
        averages.clear();
    }
    auto& average = averages[urgency];
    const double ratio = decayed_ratio(average, now);
    average = {ratio + newest_weight * ((refused ? 1 : 0) - ratio), now};
}

std::size_t load_shedder::averages(const std::string& service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? 0 : found->second.size();
}

double load_shedder::decayed_ratio(const refusal_average& average, local_time now)
{
    const std::chrono::duration<double> passed = now - average.updated_at;
    return average.ratio * std::exp(-passed / std::chrono::duration<double>{decay_time});
}

} // namespace sniperock

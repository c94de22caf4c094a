/** @file route_split.cpp Distributes a route's requests among its services by weight. */
#include "route_split.hpp"

#include <algorithm>
#include <numeric>
#include <ranges>

namespace sniperock {
namespace {

/** Maximum number of split routes with state; bounded because operators add and remove routes at
 * any time. */
constexpr std::size_t max_routes = 4096;

} // namespace

const std::string& route_splitter::next_service(const route& item)
{
    if (item.weighted_services.size() == 1) {
        return item.weighted_services.front().service;
    }
    auto& current = state_of(item);
    for (std::size_t i = 0; i < current.weighted_services.size(); ++i) {
        current.credit[i] += current.weighted_services[i].weight;
    }
    const auto selected = std::ranges::max_element(current.credit);
    *selected -= std::transform_reduce(current.weighted_services.begin(),
                                       current.weighted_services.end(), 0.0, std::plus{},
                                       [](const weighted_service& entry) { return entry.weight; });
    return item.weighted_services[static_cast<std::size_t>(selected - current.credit.begin())]
        .service;
}

/** Returns the state of a route; resets it when the weighted services of the route change. */
route_splitter::state& route_splitter::state_of(const route& item)
{
    if (states_.size() >= max_routes && !states_.contains(item.name)) {
        states_.clear();
    }
    auto& current = states_[item.name];
    if (current.weighted_services == item.weighted_services) {
        return current;
    }
    current.weighted_services = item.weighted_services;
    current.credit.assign(item.weighted_services.size(), 0);
    std::uniform_real_distribution<double> phase{0, 1};
    std::ranges::transform(
        item.weighted_services, current.credit.begin(),
        [&](const weighted_service& entry) { return entry.weight * phase(random_); });
    return current;
}

} // namespace sniperock

/** @file route_split.cpp Shares a route's requests among its services by weight. */
#include "route_split.hpp"

#include <algorithm>
#include <numeric>
#include <ranges>

namespace sniperock {
namespace {

/** Split routes that are remembered; operators add and remove routes all the time. */
constexpr std::size_t most_routes = 4096;

} // namespace

const std::string& route_splitter::next_service(const route& item)
{
    if (item.weighted_services.size() == 1) {
        return item.weighted_services.front().service;
    }
    auto& now = state_of(item);
    for (std::size_t at = 0; at < now.weighted_services.size(); ++at) {
        now.credit[at] += now.weighted_services[at].weight;
    }
    const auto richest = std::ranges::max_element(now.credit);
    *richest -= std::transform_reduce(now.weighted_services.begin(), now.weighted_services.end(),
                                      0.0, std::plus{},
                                      [](const weighted_service& part) { return part.weight; });
    return item.weighted_services[static_cast<std::size_t>(richest - now.credit.begin())].service;
}

/** The state of a route; begins anew when its weighted_services change. */
route_splitter::state& route_splitter::state_of(const route& item)
{
    if (states_.size() >= most_routes && !states_.contains(item.name)) {
        states_.clear();
    }
    auto& now = states_[item.name];
    if (now.weighted_services == item.weighted_services) {
        return now;
    }
    now.weighted_services = item.weighted_services;
    now.credit.assign(item.weighted_services.size(), 0);
    std::uniform_real_distribution<double> phase{0, 1};
    std::ranges::transform(
        item.weighted_services, now.credit.begin(),
        [&](const weighted_service& part) { return part.weight * phase(random_); });
    return now;
}

} // namespace sniperock

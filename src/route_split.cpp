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

const std::string& route_splitter::next(const route& item)
{
    if (item.parts.size() == 1) {
        return item.parts.front().service;
    }
    auto& now = state_of(item);
    for (std::size_t at = 0; at < now.parts.size(); ++at) {
        now.credit[at] += now.parts[at].weight;
    }
    const auto richest = std::ranges::max_element(now.credit);
    *richest -= std::transform_reduce(now.parts.begin(), now.parts.end(), 0.0, std::plus{},
                                      [](const route_part& part) { return part.weight; });
    return item.parts[static_cast<std::size_t>(richest - now.credit.begin())].service;
}

/** The state of a route; begins anew when its parts change. */
route_splitter::state& route_splitter::state_of(const route& item)
{
    if (states_.size() >= most_routes && !states_.contains(item.name)) {
        states_.clear();
    }
    auto& now = states_[item.name];
    if (now.parts == item.parts) {
        return now;
    }
    now.parts = item.parts;
    now.credit.assign(item.parts.size(), 0);
    std::uniform_real_distribution<double> phase{0, 1};
    std::ranges::transform(item.parts, now.credit.begin(),
                           [&](const route_part& part) { return part.weight * phase(random_); });
    return now;
}

} // namespace sniperock

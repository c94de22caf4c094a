/** @file route_table.cpp Finds the route of a request by host and longest path prefix. */
#include "route_table.hpp"

#include "http_type.hpp"

#include <algorithm>
#include <ranges>

namespace sniperock {
namespace {

std::string lower_case(std::string_view text)
{
    std::string result{text};
    std::ranges::transform(result, result.begin(), to_lower_ascii);
    return result;
}

} // namespace

route_table::route_table(configuration config)
    : config_(std::move(config)), accounts_(config_.accounts)
{
    for (const auto& item : config_.routes) {
        by_host_[lower_case(item.host)].push_back(&item);
    }
    for (auto& routes : by_host_ | std::views::values) {
        std::ranges::stable_sort(routes, std::ranges::greater{},
                                 [](const route* item) { return item->path_prefix.size(); });
    }
}

const route* route_table::find(std::string_view host, std::string_view target) const
{
    const auto found = by_host_.find(lower_case(host.substr(0, host.find(':'))));
    if (found == by_host_.end()) {
        return nullptr;
    }
    const auto path = target.substr(0, target.find('?'));
    const auto match = std::ranges::find_if(
        found->second, [path](const route* item) { return path.starts_with(item->path_prefix); });
    return match == found->second.end() ? nullptr : *match;
}

const service_config* route_table::find_service(std::string_view name) const
{
    const auto found = config_.services.find(name);
    return found == config_.services.end() ? nullptr : &found->second;
}

bool route_holder::apply(configuration config)
{
    if (table_ && config.version <= table_->config().version) {
        return false;
    }
    table_ = std::make_shared<const route_table>(std::move(config));
    return true;
}

} // namespace sniperock

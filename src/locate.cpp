/** @file locate.cpp Orders entry vms for callers. */
#include "locate.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace sniperock {
namespace {

bool owns(const locate_entry& entry, std::string_view service)
{
    return std::ranges::find(entry.services, service) != entry.services.end();
}

} // namespace

void locate_service::set_entries(std::vector<locate_entry> entries)
{
    const std::lock_guard lock(mutex_);
    entries_ = std::move(entries);
}

std::optional<std::string> locate_service::answer(std::string_view service, std::string_view near)
{
    const std::lock_guard lock(mutex_);
    auto usable = entries_;
    std::erase_if(usable, [](const locate_entry& entry) { return entry.leaving; });
    if (usable.empty()) {
        return std::nullopt;
    }
    std::ranges::shuffle(usable, random_);
    std::ranges::stable_sort(usable, std::ranges::greater{}, [&](const locate_entry& entry) {
        return std::pair{owns(entry, service), entry.failure_domain == near};
    });
    const auto quarter = keep_.count() / 4;
    std::uniform_int_distribution<std::int64_t> jitter(-quarter, quarter);
    nlohmann::json addresses = nlohmann::json::array();
    for (const auto& entry : usable) {
        addresses.push_back({{"address", entry.endpoint},
                             {"vm", entry.vm},
                             {"failure_domain", entry.failure_domain},
                             {"owner", owns(entry, service)}});
    }
    return nlohmann::json{{"service", service},
                          {"keep_ms", keep_.count() + jitter(random_)},
                          {"addresses", std::move(addresses)}}
        .dump();
}

} // namespace sniperock

/** @file edge_router.cpp Lookup tables for plans and services. */
#include "edge_router.hpp"
#include "hash_func.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <ranges>

namespace sniperock {
namespace {

std::string_view without_port(std::string_view host)
{
    const auto colon = host.rfind(':');
    return colon == std::string_view::npos ? host : host.substr(0, colon);
}

std::string lower(std::string_view text)
{
    std::string result{text};
    std::ranges::transform(result, result.begin(),
                           [](unsigned char ch) { return static_cast<char>(std::tolower(ch)); });
    return result;
}

/** True if @p path is @p prefix or goes on after it with a new segment or query. */
bool has_prefix(std::string_view path, std::string_view prefix)
{
    if (!path.starts_with(prefix)) {
        return false;
    }
    if (path.size() == prefix.size() || prefix.ends_with('/')) {
        return true;
    }
    const char next = path.at(prefix.size());
    return next == '/' || next == '?';
}

} // namespace

edge_router::edge_router(std::shared_ptr<const config_snapshot> snapshot)
    : snapshot_(std::move(snapshot))
{
    for (const auto& item : snapshot_->plans) {
        for (const auto& hash : item.key_hashes) {
            plans_by_hash_.emplace(hash, &item);
        }
    }
    for (const auto& item : snapshot_->services) {
        services_by_name_.emplace(item.name, &item);
        for (const auto& host : item.hosts) {
            services_by_host_.emplace(lower(host), &item);
        }
        if (!item.path_prefix.empty()) {
            services_by_prefix_.push_back(&item);
        }
    }
    std::ranges::sort(services_by_prefix_, std::ranges::greater{},
                      [](const service_entry* item) { return item->path_prefix.size(); });
}

const plan* edge_router::find_plan(std::string_view key) const
{
    const auto hash = sha256_hex(key);
    const auto found = plans_by_hash_.find(hash);
    if (found == plans_by_hash_.end() || !equal_in_constant_time(found->first, hash)) {
        return nullptr;
    }
    return found->second;
}

const service_entry* edge_router::find_service(std::string_view host, std::string_view path) const
{
    const auto by_host = services_by_host_.find(lower(without_port(host)));
    if (by_host != services_by_host_.end()) {
        return by_host->second;
    }
    const auto by_prefix =
        std::ranges::find_if(services_by_prefix_, [path](const service_entry* item) {
            return has_prefix(path, item->path_prefix);
        });
    return by_prefix == services_by_prefix_.end() ? nullptr : *by_prefix;
}

const service_entry* edge_router::service_named(std::string_view name) const
{
    const auto found = services_by_name_.find(std::string{name});
    return found == services_by_name_.end() ? nullptr : found->second;
}

call_class classify(std::string_view method)
{
    constexpr std::array<std::string_view, 3> safe_methods{"GET", "HEAD", "OPTIONS"};
    constexpr std::array<std::string_view, 2> idempotent_methods{"PUT", "DELETE"};
    if (std::ranges::find(safe_methods, method) != safe_methods.end()) {
        return call_class::safe;
    }
    if (std::ranges::find(idempotent_methods, method) != idempotent_methods.end()) {
        return call_class::idempotent;
    }
    return call_class::non_idempotent;
}

std::optional<milliseconds> parse_retry_after(std::string_view text)
{
    constexpr std::uint32_t day_s = 86'400;
    std::uint32_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size() || value > day_s) {
        return std::nullopt;
    }
    return seconds{value};
}

std::optional<load_report> parse_load(std::string_view text)
{
    load_report report;
    for (const auto part : std::views::split(text, ';')) {
        const std::string_view field(part.begin(), part.end());
        const auto equals = field.find('=');
        if (equals == std::string_view::npos) {
            return std::nullopt;
        }
        const auto name = field.substr(0, equals);
        const auto value = field.substr(equals + 1);
        if (name == "phase") {
            const auto phase = from_name<server_phase>(value);
            if (!phase) {
                return std::nullopt;
            }
            report.phase = *phase;
        }
        else if (name == "in_flight" || name == "slots") {
            auto& target = name == "slots" ? report.slots : report.in_flight;
            const auto result = std::from_chars(value.data(), value.data() + value.size(), target);
            if (result.ec != std::errc{}) {
                return std::nullopt;
            }
        }
    }
    return report;
}

} // namespace sniperock

/** @file entry_settings.cpp Values derived from the settings of an entry process. */
#include "entry_settings_func.hpp"

#include "net_endpoint.hpp"

#include <ranges>

namespace sniperock {

asio::ip::tcp::endpoint endpoint_of(const std::string& setting)
{
    return parse_endpoint(setting).value();
}

std::string address_of(const std::string& setting)
{
    return endpoint_of(setting).address().to_string();
}

std::vector<std::string> seed_addresses(const entry_settings& settings)
{
    std::vector<std::string> seeds;
    for (const auto part : std::views::split(settings.peer_seeds, ',')) {
        std::string_view seed(part.begin(), part.end());
        seed.remove_prefix(std::min(seed.find_first_not_of(' '), seed.size()));
        if (!seed.empty()) {
            seeds.emplace_back(seed.substr(0, seed.find(':')));
        }
    }
    return seeds;
}

quarantine_settings quarantine_settings_of(const entry_settings& settings)
{
    return {static_cast<std::size_t>(settings.quarantine_crashes), settings.quarantine_time};
}

} // namespace sniperock

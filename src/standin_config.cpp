/** @file standin_config.cpp Puts a whole configuration into the store. */
#include "standin_config.hpp"
#include "config_func.hpp"
#include "config_repository.hpp"

#include <nlohmann/json.hpp>

namespace sniperock {

void seed_config(store_client& store, const config_snapshot& config)
{
    config_bootstrap(store, config);
}

config_snapshot parse_whole_config(const std::string& json, const std::string& source)
{
    try {
        const auto document = nlohmann::json::parse(json);
        config_snapshot snapshot;
        snapshot.plans = parse_plans(document.at("plans").dump(), source);
        snapshot.allowances = parse_allowances(document.at("allowances").dump(), source);
        snapshot.services = parse_services(document.at("services").dump(), source);
        snapshot.out = parse_availability(document.at("availability").dump(), source);
        return snapshot;
    }
    catch (const nlohmann::json::exception& fault) {
        throw invalid_input({{source, 0, "/", fault.what()}});
    }
}

} // namespace sniperock

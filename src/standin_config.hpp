/** @file standin_config.hpp Puts a whole configuration into the store, for demonstration and bench.
 */
#pragma once

#include "config_type.hpp"
#include "store_client.hpp"

#include <string>

namespace sniperock {

/** Replaces whatever configuration is stored. @throws store_unavailable */
void seed_config(store_client& store, const config_snapshot& config);

/**
 * Reads one JSON object with the members plans, allowances, services and availability, each as the
 * administration API takes it.
 * @throws invalid_input with every finding of the first list that has any.
 */
config_snapshot parse_whole_config(const std::string& json, const std::string& source);

} // namespace sniperock

/** @file standin_config.hpp Puts a whole configuration into the store, for demonstration and bench.
 */
#pragma once

#include "config_type.hpp"
#include "store_client.hpp"

#include <string>

namespace sniperock {

/** Replaces whatever configuration is stored. @throws store_unavailable */
void seed_config(store_client& store, const config_snapshot& config);

/** Parses plans, allowances, services and availability from one document. @throws invalid_input */
config_snapshot parse_whole_config(const std::string& text, const std::string& source);

} // namespace sniperock

/** @file standin_config.hpp Puts a whole configuration into the store, for demonstration and bench.
 */
#pragma once

#include "config_type.hpp"
#include "store_client.hpp"

namespace sniperock {

/** Replaces whatever configuration is stored. @throws store_unavailable */
void seed_config(store_client& store, const config_snapshot& config);

} // namespace sniperock

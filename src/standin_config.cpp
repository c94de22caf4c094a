/** @file standin_config.cpp Puts a whole configuration into the store. */
#include "standin_config.hpp"
#include "config_func.hpp"
#include "entry_node.hpp"

namespace sniperock {

void seed_config(store_client& store, const config_snapshot& config)
{
    const auto present = store.get(config_key);
    const auto result =
        store.put(config_key, format_snapshot(config), present ? present->version : 0);
    if (result.status != put_status::accepted) {
        throw store_unavailable("the configuration was not accepted");
    }
}

} // namespace sniperock

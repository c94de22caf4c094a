/** @file store_schema.hpp Kinds of objects that a deployment stores, and their decoders. */
#pragma once

#include "config_type.hpp"
#include "rollout_type.hpp"
#include "store_type.hpp"
#include "upstream_type.hpp"

#include <optional>
#include <string>

namespace sniperock {

/** Names of the kinds in the store and functions that decode their objects. */
struct store_schema {
    /** Kind of the upstream registry, one object for each upstream. */
    std::string upstreams;
    /** Kind of the configurations. */
    std::string configurations;
    /** Name of the object that holds the newest configuration. */
    std::string newest_configuration;
    /** Kind of the evacuations; the name of each object is that of an evacuated failure domain. */
    std::string evacuations;
    /** Kind of the orders of roll-outs; the name of each object is that of a service. */
    std::string rollouts;
    /** Kind of the fleet's VMs, one object for each VM. */
    std::string vms;
    /** Decodes a registry entry; empty if it describes no usable upstream. */
    std::optional<upstream_entry> (*decode_upstream)(const stored_object& object);
    /** Decodes a configuration. @throws store_error */
    configuration (*decode_configuration)(const nlohmann::json& spec);
    /** Decodes an order; empty if it describes none. */
    std::optional<stored_rollout> (*decode_rollout)(const stored_object& object);
    /** Encodes the status of an order that runs or has ended. */
    nlohmann::json (*encode_rollout_status)(const rollout_order& order, rollout_state state);
};

} // namespace sniperock

/** @file store_schema.hpp What a deployment keeps in the store, and under which names. */
#pragma once

#include "config_type.hpp"
#include "store_type.hpp"
#include "upstream_type.hpp"

#include <optional>
#include <string>

namespace sniperock {

/** Kinds of objects and how they are read. */
struct store_schema {
    /** Registry of upstreams, one object each. */
    std::string upstreams;
    /** Configurations. */
    std::string configurations;
    /** The object of the configurations that holds the newest one. */
    std::string newest_configuration;
    /** Failure domains that are evacuated; an object's name is the domain's. */
    std::string evacuations;
    /** VMs of the fleet, one object each. */
    std::string vms;
    /** Reads a registry entry; empty if it names no upstream to use. */
    std::optional<upstream_entry> (*decode_upstream)(const stored_object& object);
    /** Reads a configuration. @throws store_error */
    configuration (*decode_configuration)(const nlohmann::json& spec);
};

} // namespace sniperock

/** @file entry_settings_func.hpp Values derived from the settings of an entry process. */
#pragma once

#include "quarantine.hpp"
#include "settings_type.hpp"

#include <asio/ip/tcp.hpp>

#include <string>
#include <vector>

namespace sniperock {

/** The endpoint of a setting that has been validated as an address with a port. */
asio::ip::tcp::endpoint endpoint_of(const std::string& setting);
/** The IP address of a setting that has been validated as an address with a port. */
std::string address_of(const std::string& setting);
/** The addresses of the seeds, without their ports. */
std::vector<std::string> seed_addresses(const entry_settings& settings);

/** When requests that end upstreams are quarantined. */
quarantine_settings quarantine_settings_of(const entry_settings& settings);

} // namespace sniperock

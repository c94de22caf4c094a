/** @file entry_settings_func.hpp Derives values from the settings of an entry process. */
#pragma once

#include "settings_type.hpp"

#include <asio/ip/tcp.hpp>

#include <string>
#include <vector>

namespace sniperock {

/** The endpoint of a checked setting. */
asio::ip::tcp::endpoint endpoint_of(const std::string& setting);
/** The IP address of a checked setting. */
std::string address_of(const std::string& setting);
/** Addresses of the seeds, without their ports. */
std::vector<std::string> seed_addresses(const entry_settings& settings);

} // namespace sniperock

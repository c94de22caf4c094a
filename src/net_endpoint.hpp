/** @file net_endpoint.hpp Parses IP addresses with ports. */
#pragma once

#include <asio/ip/tcp.hpp>

#include <optional>
#include <string_view>

namespace sniperock {

/** Parses an address with a port, such as "10.0.0.1:8080"; empty if malformed. */
std::optional<asio::ip::tcp::endpoint> parse_endpoint(std::string_view text);

} // namespace sniperock

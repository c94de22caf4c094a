/** @file net_endpoint.hpp Reads addresses with ports. */
#pragma once

#include <asio/ip/tcp.hpp>

#include <optional>
#include <string_view>

namespace sniperock {

/** Reads "10.0.0.1:8080"; empty if it is anything else. */
std::optional<asio::ip::tcp::endpoint> parse_endpoint(std::string_view text);

} // namespace sniperock

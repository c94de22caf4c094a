/** @file net_endpoint.cpp Parses IP addresses with ports. */
#include "net_endpoint.hpp"

#include <charconv>
#include <string>

namespace sniperock {

std::optional<asio::ip::tcp::endpoint> parse_endpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::uint16_t port = 0;
    const auto digits = text.substr(colon + 1);
    const auto* const end = digits.data() + digits.size();
    const auto [parsed_end, parse_error] = std::from_chars(digits.data(), end, port);
    asio::error_code error;
    const auto address = asio::ip::make_address(std::string{text.substr(0, colon)}, error);
    if (error || parse_error != std::errc{} || parsed_end != end) {
        return std::nullopt;
    }
    return asio::ip::tcp::endpoint{address, port};
}

} // namespace sniperock

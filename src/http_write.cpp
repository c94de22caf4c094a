/** @file http_write.cpp Serialization of message heads and body framing. */
#include "http_write.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <ranges>
#include <utility>

namespace sniperock {
namespace {

constexpr std::array<std::pair<int, std::string_view>, 27> reason_phrases{{
    {200, "OK"},
    {201, "Created"},
    {202, "Accepted"},
    {204, "No Content"},
    {206, "Partial Content"},
    {304, "Not Modified"},
    {400, "Bad Request"},
    {401, "Unauthorized"},
    {403, "Forbidden"},
    {404, "Not Found"},
    {405, "Method Not Allowed"},
    {408, "Request Timeout"},
    {409, "Conflict"},
    {412, "Precondition Failed"},
    {413, "Payload Too Large"},
    {416, "Range Not Satisfiable"},
    {417, "Expectation Failed"},
    {422, "Unprocessable Entity"},
    {429, "Too Many Requests"},
    {431, "Request Header Fields Too Large"},
    {500, "Internal Server Error"},
    {501, "Not Implemented"},
    {502, "Bad Gateway"},
    {503, "Service Unavailable"},
    {504, "Gateway Timeout"},
    {505, "HTTP Version Not Supported"},
    {507, "Insufficient Storage"},
}};

constexpr std::array<std::string_view, 9> hop_by_hop_names{"connection",
                                                           "keep-alive",
                                                           "proxy-authenticate",
                                                           "proxy-authorization",
                                                           "proxy-connection",
                                                           "te",
                                                           "trailer",
                                                           "transfer-encoding",
                                                           "upgrade"};

/** True if the Connection header value @p header_value lists @p name. */
bool lists_name(std::string_view header_value, std::string_view name)
{
    return std::ranges::any_of(std::views::split(header_value, ','), [name](auto part) {
        std::string_view token(part.begin(), part.end());
        token.remove_prefix(std::min(token.find_first_not_of(" \t"), token.size()));
        token = token.substr(0, token.find_last_not_of(" \t") + 1);
        return equal_ignoring_case(token, name);
    });
}

/** True if a Connection header of the message lists @p name. */
bool listed_in_connection_header(const http_headers& headers, std::string_view name)
{
    return std::ranges::any_of(headers.lines(), [name](const http_header& line) {
        return equal_ignoring_case(line.name, "connection") && lists_name(line.value, name);
    });
}

} // namespace

std::string_view reason_phrase(int status)
{
    const auto found =
        std::ranges::find(reason_phrases, status, &std::pair<int, std::string_view>::first);
    return found == reason_phrases.end() ? std::string_view{"Status"} : found->second;
}

bool is_standard_hop_by_hop(std::string_view name)
{
    return std::ranges::any_of(hop_by_hop_names, [name](std::string_view hop_by_hop_name) {
        return equal_ignoring_case(hop_by_hop_name, name);
    });
}

bool is_hop_by_hop(const http_headers& headers, std::string_view name)
{
    return is_standard_hop_by_hop(name) || listed_in_connection_header(headers, name);
}

void append_request_line(std::string& out, std::string_view method, std::string_view target)
{
    out.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
}

void append_status_line(std::string& out, int status)
{
    out.append("HTTP/1.1 ");
    append_number(out, static_cast<std::uint64_t>(status));
    out.append(" ");
    out.append(reason_phrase(status)).append("\r\n");
}

void append_header(std::string& out, std::string_view name, std::string_view value)
{
    out.append(name).append(": ").append(value).append("\r\n");
}

void append_end_to_end_headers(std::string& out, const http_headers& headers)
{
    append_end_to_end_headers(out, headers, [](std::string_view) { return true; });
}

void append_framing(std::string& out, body_framing framing, std::uint64_t length)
{
    if (framing == body_framing::length) {
        out.append("Content-Length: ");
        append_number(out, length);
        out.append("\r\n");
    }
    else if (framing != body_framing::none) {
        append_header(out, "Transfer-Encoding", "chunked");
    }
}

void append_number(std::string& out, std::uint64_t number)
{
    std::array<char, 20> digits{};
    const auto result = std::to_chars(digits.data(), digits.data() + digits.size(), number);
    out.append(digits.data(), result.ptr);
}

std::string chunk_size_line(std::size_t size)
{
    constexpr int hexadecimal = 16;
    std::array<char, 20> digits{};
    const auto result =
        std::to_chars(digits.data(), digits.data() + digits.size(), size, hexadecimal);
    return std::string(digits.data(), result.ptr) + "\r\n";
}

} // namespace sniperock

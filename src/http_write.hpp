/** @file http_write.hpp Serialization of message heads and body framing. */
#pragma once

#include "http_type.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace sniperock {

/** The reason phrase of a status code. */
std::string_view reason_phrase(int status);

/** True for the standard hop-by-hop headers. */
bool is_standard_hop_by_hop(std::string_view name);

/** True for headers that must not be forwarded: the standard hop-by-hop headers and those listed in
 * the Connection header. */
bool is_hop_by_hop(const http_headers& headers, std::string_view name);

void append_request_line(std::string& out, std::string_view method, std::string_view target);
void append_status_line(std::string& out, int status);
void append_header(std::string& out, std::string_view name, std::string_view value);
/** Appends the end-to-end headers except those that define the body framing. */
void append_end_to_end_headers(std::string& out, const http_headers& headers);
/**
 * Appends the end-to-end headers except those that define the body framing.
 * @param predicate called with each header name; headers for which it returns false are left out.
 */
template <typename Predicate>
void append_end_to_end_headers(std::string& out, const http_headers& headers, Predicate predicate)
{
    const bool has_connection_header = headers.find("connection").has_value();
    for (const auto& line : headers.lines()) {
        const bool is_framing = equal_ignoring_case(line.name, "content-length");
        const bool is_dropped = is_standard_hop_by_hop(line.name) ||
                                (has_connection_header && is_hop_by_hop(headers, line.name));
        if (!is_framing && !is_dropped && predicate(line.name)) {
            append_header(out, line.name, line.value);
        }
    }
}
/** Appends a number in decimal. */
void append_number(std::string& out, std::uint64_t number);
/** Appends the header that defines the body framing, if there is one. */
void append_framing(std::string& out, body_framing framing, std::uint64_t length);
/** Returns the size line of a chunk of @p size bytes. */
std::string chunk_size_line(std::size_t size);

/** Terminates each chunk. */
inline constexpr std::string_view chunk_suffix = "\r\n";
/** Terminates a chunked body. */
inline constexpr std::string_view last_chunk = "0\r\n\r\n";

} // namespace sniperock

/** @file http_write.hpp Serialises message heads and body framing. */
#pragma once

#include "http_type.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace sniperock {

/** The reason phrase of a status code. */
std::string_view status_phrase(int status);

/** True for the standard headers that concern one connection only. */
bool is_connection_header(std::string_view name);

/** True for headers that concern one connection only and must not be passed on. */
bool is_hop_by_hop(const http_headers& headers, std::string_view name);

/** Appends the request line. */
void append_request_line(std::string& out, std::string_view method, std::string_view target);
/** Appends the status line. */
void append_status_line(std::string& out, int status);
/** Appends one header line. */
void append_header(std::string& out, std::string_view name, std::string_view value);
/** Appends every header that may be passed on, but those that frame the body. */
void append_end_to_end_headers(std::string& out, const http_headers& headers);
/**
 * Appends every header that may be passed on, but those that frame the body.
 * @param wanted called with each name; false leaves the header out.
 */
template <typename Wanted>
void append_end_to_end_headers(std::string& out, const http_headers& headers, Wanted wanted)
{
    const bool names_others = headers.find("connection").has_value();
    for (const auto& line : headers.lines()) {
        const bool framing = equal_ignoring_case(line.name, "content-length");
        const bool dropped =
            is_connection_header(line.name) || (names_others && is_hop_by_hop(headers, line.name));
        if (!framing && !dropped && wanted(line.name)) {
            append_header(out, line.name, line.value);
        }
    }
}
/** Appends a decimal number. */
void append_number(std::string& out, std::uint64_t number);
/** Appends the header that states a body's framing, if it needs one. */
void append_framing(std::string& out, body_framing framing, std::uint64_t length);
/** The line before a chunk of @p size bytes. */
std::string chunk_prefix(std::size_t size);

/** Ends every chunk. */
inline constexpr std::string_view chunk_suffix = "\r\n";
/** Ends a chunked body. */
inline constexpr std::string_view last_chunk = "0\r\n\r\n";

} // namespace sniperock

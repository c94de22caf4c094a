/** @file http_type.hpp Value types for HTTP/1.1 message heads. */
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sniperock {

/** Status codes that the code compares with or sends. */
namespace http_status {
inline constexpr int first = 100;
inline constexpr int switching_protocols = 101;
inline constexpr int first_final = 200;
inline constexpr int ok = 200;
inline constexpr int no_content = 204;
inline constexpr int first_redirect = 300;
inline constexpr int not_modified = 304;
inline constexpr int first_client_error = 400;
inline constexpr int unauthorized = 401;
inline constexpr int not_found = 404;
inline constexpr int request_timeout = 408;
inline constexpr int conflict = 409;
inline constexpr int gone = 410;
inline constexpr int payload_too_large = 413;
inline constexpr int expectation_failed = 417;
inline constexpr int misdirected = 421;
inline constexpr int too_many_requests = 429;
inline constexpr int first_server_error = 500;
inline constexpr int internal_server_error = 500;
inline constexpr int bad_gateway = 502;
inline constexpr int unavailable = 503;
inline constexpr int gateway_timeout = 504;
inline constexpr int last = 599;
} // namespace http_status

/** One header line. */
struct http_header {
    std::string name;
    std::string value;
};

/** Converts an ASCII letter to lower case; returns other characters unchanged. */
constexpr char to_lower_ascii(char ch)
{
    return ch >= 'A' && ch <= 'Z' ? static_cast<char>(ch - 'A' + 'a') : ch;
}

/** Compares two strings, ignoring the case of ASCII letters. */
constexpr bool equal_ignoring_case(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && std::ranges::equal(left, right, [](char a, char b) {
               return to_lower_ascii(a) == to_lower_ascii(b);
           });
}

/** Header lines in message order. */
class http_headers {
public:
    void add(std::string name, std::string value)
    {
        lines_.push_back({std::move(name), std::move(value)});
    }
    /** Returns the value of the first header called @p name, ignoring case. */
    [[nodiscard]] std::optional<std::string_view> find(std::string_view name) const
    {
        const auto found = std::ranges::find_if(
            lines_, [&](const http_header& line) { return equal_ignoring_case(line.name, name); });
        return found == lines_.end() ? std::nullopt : std::optional<std::string_view>{found->value};
    }
    [[nodiscard]] const std::vector<http_header>& lines() const { return lines_; }
    [[nodiscard]] std::vector<http_header>& lines() { return lines_; }
    /** Appends an empty line, reusing the memory of a cleared one if available. */
    http_header& add_empty()
    {
        if (spare_.empty()) {
            return lines_.emplace_back();
        }
        lines_.push_back(std::move(spare_.back()));
        spare_.pop_back();
        return lines_.back();
    }
    /** Removes all lines and keeps their memory for reuse. */
    void clear()
    {
        for (auto& line : lines_) {
            line.name.clear();
            line.value.clear();
            spare_.push_back(std::move(line));
        }
        lines_.clear();
    }

private:
    std::vector<http_header> lines_;
    std::vector<http_header> spare_;
};

/** How the end of a body is determined. */
enum class body_framing { none, length, chunked, until_close };

/** Head of a request or response. */
struct http_head {
    /** Request only. */
    std::string method;
    /** Request only: path and query. */
    std::string target;
    /** Response only. */
    int status = 0;
    http_headers headers;
    body_framing framing = body_framing::none;
    /** Body size in bytes if framing is length; otherwise 0. */
    std::uint64_t body_length = 0;
    /** True if the connection may carry another message after this one. */
    bool keep_alive = true;
    /** True for HTTP/1.1 or a later minor version. */
    bool version_1_1 = true;

    /** Resets all fields and keeps allocated memory. */
    void clear()
    {
        method.clear();
        target.clear();
        headers.clear();
        status = 0;
        framing = body_framing::none;
        body_length = 0;
        keep_alive = true;
        version_1_1 = true;
    }
};

} // namespace sniperock

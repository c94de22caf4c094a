/** @file http_check.cpp Rejects message heads and chunk framing that peers may interpret
 * differently. */
#include "http_check.hpp"

#include <algorithm>
#include <array>

namespace sniperock {
namespace {

/** Maximum number of header lines in one message. */
constexpr std::size_t max_header_lines = 100;
constexpr unsigned char first_printable = 0x20;
constexpr unsigned char delete_character = 0x7f;

/** Returns a table that is true for the characters allowed in a header name. */
constexpr std::array<bool, 256> make_token_table()
{
    std::array<bool, 256> table{};
    for (char ch = 'a'; ch <= 'z'; ++ch) {
        table.at(static_cast<unsigned char>(ch)) = true;
        table.at(static_cast<unsigned char>(ch - 'a' + 'A')) = true;
    }
    for (char ch = '0'; ch <= '9'; ++ch) {
        table.at(static_cast<unsigned char>(ch)) = true;
    }
    for (const char ch : std::string_view{"!#$%&'*+-.^_`|~"}) {
        table.at(static_cast<unsigned char>(ch)) = true;
    }
    return table;
}

constexpr auto token_table = make_token_table();

bool is_token_character(char ch)
{
    return token_table[static_cast<unsigned char>(ch)];
}

bool is_token(std::string_view text)
{
    return !text.empty() && std::ranges::all_of(text, is_token_character);
}

bool is_hex_digit(char ch)
{
    const char lower = to_lower_ascii(ch);
    return (ch >= '0' && ch <= '9') || (lower >= 'a' && lower <= 'f');
}

bool is_blank(char ch)
{
    return ch == ' ' || ch == '\t';
}

bool is_control(char ch)
{
    const auto code = static_cast<unsigned char>(ch);
    return (code < first_printable && ch != '\t') || code == delete_character;
}

bool is_visible(char ch)
{
    const auto code = static_cast<unsigned char>(ch);
    return code > first_printable && code != delete_character;
}

/** The begin of a status line; any digits may stand in place of the minor version and the code, and
 * the line may end behind it. */
constexpr std::string_view status_line_sample = "HTTP/1.1 200 ";
constexpr std::size_t status_line_first_digit = std::string_view{"HTTP/1."}.size();

bool fits_status_line(char ch, std::size_t position)
{
    const char expected = status_line_sample[position];
    if (position >= status_line_first_digit && expected != ' ') {
        return ch >= '0' && ch <= '9';
    }
    return ch == expected || (position + 1 == status_line_sample.size() && ch == '\r');
}

std::ptrdiff_t count_headers(const http_head& head, std::string_view name)
{
    return std::ranges::count_if(head.headers.lines(), [name](const http_header& line) {
        return equal_ignoring_case(line.name, name);
    });
}

void check_headers(const http_head& head)
{
    if (head.headers.lines().size() > max_header_lines) {
        throw http_syntax_error("too many header lines", head_too_long_status);
    }
    for (const auto& line : head.headers.lines()) {
        if (!is_token(line.name)) {
            throw http_syntax_error("header name is malformed", malformed_status);
        }
    }
}

void check_framing(const http_head& head)
{
    const auto coding_count = count_headers(head, "transfer-encoding");
    if (coding_count == 0) {
        return;
    }
    const auto coding = head.headers.find("transfer-encoding").value_or("");
    if (coding_count > 1 || !equal_ignoring_case(coding, "chunked")) {
        throw http_syntax_error("transfer coding is other than chunked", malformed_status);
    }
    if (head.headers.find("content-length")) {
        throw http_syntax_error("message has both Content-Length and chunked transfer coding",
                                malformed_status);
    }
}

void check_request(const http_head& head)
{
    if (!head.version_1_1) {
        throw http_syntax_error("HTTP version is not HTTP/1.1", unsupported_version_status);
    }
    if (!head.target.starts_with('/') || !std::ranges::all_of(head.target, is_visible)) {
        throw http_syntax_error("request target is malformed", malformed_status);
    }
    if (count_headers(head, "host") != 1) {
        throw http_syntax_error("request does not have exactly one Host header", malformed_status);
    }
}

/** True if the head says that a body follows. */
bool announces_body(const http_head& head)
{
    const auto length = head.headers.find("content-length").value_or("0");
    return length.find_first_not_of('0') != std::string_view::npos ||
           head.headers.find("transfer-encoding").has_value();
}

void check_response(const http_head& head)
{
    // No request asks for another protocol.
    if (head.status < http_status::first || head.status > http_status::last ||
        head.status == http_status::switching_protocols) {
        throw http_syntax_error("status is none that an upstream may send", malformed_status);
    }
    // Its receiver would take the body for the next response.
    if ((head.status < http_status::first_final || head.status == http_status::no_content) &&
        announces_body(head)) {
        throw http_syntax_error("response that has no body announces one", malformed_status);
    }
    if (!head.version_1_1 && head.headers.find("transfer-encoding")) {
        throw http_syntax_error("HTTP/1.0 has no transfer codings", malformed_status);
    }
}

} // namespace

void line_end_checker::check_line_end(char ch)
{
    if ((ch == '\n') != previous_was_cr_) {
        throw http_syntax_error("line does not end with CR LF", malformed_status);
    }
    previous_was_cr_ = ch == '\r';
}

void line_end_checker::check_head(std::string_view data)
{
    for (const char ch : data) {
        check_line_end(ch);
        if (is_control(ch) && ch != '\r' && ch != '\n') {
            throw http_syntax_error("head contains a control character", malformed_status);
        }
        if (at_line_start_ && is_blank(ch)) {
            throw http_syntax_error("header line is folded", malformed_status);
        }
        at_line_start_ = ch == '\n';
    }
}

/** Checks one byte of the lines around chunks. The library accepts other characters behind a size,
 * and blanks in the names of trailers. */
void line_end_checker::check_chunk_byte(char ch)
{
    if (ch == '\r') {
        const bool incomplete = chunk_part_ == chunk_part::size_start ||
                                chunk_part_ == chunk_part::size_padding ||
                                chunk_part_ == chunk_part::trailer_name;
        if (incomplete) {
            throw http_syntax_error("line of chunk framing is incomplete", malformed_status);
        }
        return;
    }
    if (ch != '\n' && is_control(ch)) {
        throw http_syntax_error("chunk framing contains a control character", malformed_status);
    }
    if (chunk_part_ == chunk_part::size_start) {
        last_chunk_ = true;
    }
    chunk_part_ = part_after(ch);
}

/** The part that follows @p ch, which is no CR. @throws http_syntax_error */
line_end_checker::chunk_part line_end_checker::part_after(char ch)
{
    using enum chunk_part;
    const auto part = chunk_part_;
    const bool line_end = ch == '\n';
    if ((part == size_start || part == size) && is_hex_digit(ch)) {
        last_chunk_ = last_chunk_ && ch == '0';
        return size;
    }
    if ((part == size || part == size_padding) && (is_blank(ch) || ch == ';')) {
        return ch == ';' ? extension : size_padding;
    }
    if ((part == size || part == extension) && line_end) {
        return last_chunk_ ? trailer_start : content_end;
    }
    if (part == content_end && line_end) {
        return size_start;
    }
    if ((part == trailer_start || part == trailer_value) && line_end) {
        return trailer_start;
    }
    if (part == trailer_name && ch == ':') {
        return trailer_value;
    }
    if ((part == trailer_start || part == trailer_name) && is_token_character(ch)) {
        return trailer_name;
    }
    if (part == extension || part == trailer_value) {
        return part;
    }
    throw http_syntax_error("line of chunk framing is malformed", malformed_status);
}

void line_end_checker::check_chunks(std::string_view data,
                                    const std::vector<std::string_view>& chunks)
{
    const auto check_framing_bytes = [this](std::string_view framing) {
        for (const char ch : framing) {
            check_line_end(ch);
            check_chunk_byte(ch);
        }
    };
    const char* framing_start = data.data();
    for (const auto chunk : chunks) {
        check_framing_bytes(
            {framing_start, static_cast<std::size_t>(chunk.data() - framing_start)});
        if (previous_was_cr_) {
            throw http_syntax_error("line does not end with CR LF", malformed_status);
        }
        framing_start = chunk.data() + chunk.size();
    }
    check_framing_bytes(
        {framing_start, static_cast<std::size_t>(data.data() + data.size() - framing_start)});
}

void check_status_line(std::string_view data, std::size_t offset)
{
    for (std::size_t i = 0; i < data.size() && offset + i < status_line_sample.size(); ++i) {
        if (!fits_status_line(data[i], offset + i)) {
            throw http_syntax_error("status line is malformed", malformed_status);
        }
    }
}

void check_head(const http_head& head, bool is_request)
{
    check_headers(head);
    check_framing(head);
    if (is_request) {
        check_request(head);
    }
    else {
        check_response(head);
    }
}

} // namespace sniperock

/** @file edge_relay.cpp Composes heads and checks resumed downloads. */
#include "edge_relay.hpp"
#include "edge_type.hpp"
#include "http_write.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace sniperock {
namespace {

/** Headers of a caller that no server gets. */
constexpr std::array<std::string_view, 5> caller_only{
    edge_header::key, edge_header::timeout, edge_header::deadline, edge_header::call_id, "Expect"};
/** Headers of a server that no caller gets. */
constexpr std::array<std::string_view, 4> server_only{edge_header::outcome, edge_header::reason,
                                                      edge_header::not_run, edge_header::load};
/** Headers that would make the rest of a download depend on more than its entity tag. */
constexpr std::array<std::string_view, 6> preconditions{
    "Range", "If-Range", "If-None-Match", "If-Modified-Since", "If-Unmodified-Since", "If-Match"};

template <typename Names>
bool listed(const Names& names, std::string_view name)
{
    return std::ranges::any_of(
        names, [name](std::string_view item) { return equal_ignoring_case(item, name); });
}

bool is_strong(std::string_view etag)
{
    return etag.size() >= 2 && etag.front() == '"' && etag.back() == '"';
}

/** Reads a number and then @p end off the front of @p text. */
std::optional<std::uint64_t> read_number(std::string_view& text, std::string_view end)
{
    std::uint64_t value = 0;
    const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    text.remove_prefix(static_cast<std::size_t>(stop - text.data()));
    if (error != std::errc{} || !text.starts_with(end)) {
        return std::nullopt;
    }
    text.remove_prefix(end.size());
    return value;
}

} // namespace

std::optional<content_range> parse_content_range(std::string_view text)
{
    constexpr std::string_view unit = "bytes ";
    if (!text.starts_with(unit)) {
        return std::nullopt;
    }
    text.remove_prefix(unit.size());
    const auto first = read_number(text, "-");
    const auto last = first ? read_number(text, "/") : std::nullopt;
    const auto total = last ? read_number(text, "") : std::nullopt;
    if (!total || !text.empty() || *last < *first || *last >= *total) {
        return std::nullopt;
    }
    return content_range{*first, *last, *total};
}

void answer_relay::begin(std::string& out, const http_head& request, const http_head& answer,
                         bool close)
{
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    const bool head_request = request.method == "HEAD";
    framing_ = answer.framing == body_framing::until_close ? body_framing::chunked : answer.framing;
    append_status_line(out, answer.status);
    append_end_to_end_headers(out, answer.headers,
                              [](std::string_view name) { return !listed(server_only, name); });
    append_header(out, edge_header::outcome, to_name(call_outcome::answered));
    const auto length = answer.headers.find("content-length");
    if (head_request || answer.status == not_modified) {
        if (length) {
            append_header(out, "Content-Length", *length);
        }
    }
    else if (framing_ == body_framing::none && answer.status != no_content) {
        append_header(out, "Content-Length", "0");
    }
    append_framing(out, framing_, answer.body_length);
    if (close) {
        append_header(out, "Connection", "close");
    }
    out += "\r\n";
    passed_ = 0;
    total_.reset();
    if (framing_ == body_framing::length) {
        total_ = answer.body_length;
    }
    etag_ = answer.headers.find("etag").value_or("");
    const bool ranges = answer.headers.find("accept-ranges").value_or("") == "bytes";
    resumable_ = request.method == "GET" && answer.status == http_status::ok &&
                 !request.headers.find("range") && is_strong(etag_) &&
                 (total_.has_value() || (ranges && answer.framing == body_framing::chunked));
}

void answer_relay::append_range_headers(std::string& out) const
{
    out.append("Range: bytes=");
    append_number(out, passed_);
    out.append("-\r\n");
    append_header(out, "If-Range", etag_);
}

bool answer_relay::fits(const http_head& answer) const
{
    const auto range = parse_content_range(answer.headers.find("content-range").value_or(""));
    if (answer.status != http_status::partial_content || !range ||
        answer.headers.find("etag").value_or("") != etag_) {
        return false;
    }
    const bool to_the_end = range->first == passed_ && range->last + 1 == range->total;
    const bool same_total = !total_ || *total_ == range->total;
    const bool same_length =
        answer.framing == body_framing::length && answer.body_length == range->total - range->first;
    return to_the_end && same_total && same_length;
}

void append_server_request(std::string& out, const http_head& request, bool resumed)
{
    append_request_line(out, request.method, request.target);
    append_end_to_end_headers(out, request.headers, [resumed](std::string_view name) {
        return !listed(caller_only, name) && !(resumed && listed(preconditions, name));
    });
}

} // namespace sniperock

/** @file load_check.cpp Checks that an answer is whole and belongs to its call. */
#include "load_check.hpp"
#include "edge_type.hpp"
#include "standin_control.hpp"
#include "standin_pattern.hpp"
#include "standin_range.hpp"

#include <charconv>

namespace sniperock {
namespace {

constexpr int first_error_status = 400;

std::optional<std::uint64_t> parse_number(std::optional<std::string_view> text)
{
    std::uint64_t value = 0;
    if (!text ||
        std::from_chars(text->data(), text->data() + text->size(), value).ec != std::errc{}) {
        return std::nullopt;
    }
    return value;
}

call_outcome outcome_of(const http_head& head)
{
    if (const auto told = head.headers.find(edge_header::outcome)) {
        return from_name<call_outcome>(*told).value_or(call_outcome::unknown);
    }
    return head.headers.find(edge_header::not_run) ? call_outcome::not_run : call_outcome::answered;
}

} // namespace

answer_checker::answer_checker(const load_stream& stream, std::string id, std::string body_digest,
                               bool check_bodies)
    : stream_(stream), id_(std::move(id)), body_digest_(std::move(body_digest)),
      check_bodies_(check_bodies)
{
}

bool answer_checker::body_is_known() const
{
    return check_bodies_ && outcome_ == call_outcome::answered && status_ < first_error_status;
}

bool answer_checker::request_was_whole(const http_head& head) const
{
    if (stream_.body_bytes == 0) {
        return true;
    }
    const auto size = parse_number(head.headers.find(server_header::body_size));
    const auto digest = head.headers.find(server_header::body_digest).value_or("");
    return size == stream_.body_bytes && digest == body_digest_;
}

void answer_checker::expect_body(const http_head& head)
{
    if (stream_.method == "HEAD") {
        expected_size_ = 0;
        return;
    }
    const auto large =
        stream_.path.starts_with(server_path::bytes) ? size_in_target(stream_.path) : std::nullopt;
    if (large) {
        expected_size_ = large;
        seed_ = pattern_seed(entity_tag(*large));
        return;
    }
    expected_size_ = parse_number(head.headers.find(server_header::answer_size));
    seed_ = pattern_seed(id_);
}

void answer_checker::begin(const http_head& head)
{
    status_ = head.status;
    outcome_ = outcome_of(head);
    reason_ = head.headers.find(edge_header::reason).value_or("");
    const auto echoed = head.headers.find(server_header::request_id);
    const bool must_echo = outcome_ == call_outcome::answered && status_ < first_error_status;
    own_ = echoed ? *echoed == id_ : !must_echo;
    if (body_is_known()) {
        expect_body(head);
        intact_ = request_was_whole(head);
    }
}

void answer_checker::add(std::string_view piece)
{
    size_ += piece.size();
    if (!body_is_known()) {
        return;
    }
    intact_ = intact_ && matches_pattern(piece, seed_, offset_);
    offset_ += piece.size();
}

answer_verdict answer_checker::finish() const
{
    if (!own_) {
        return answer_verdict::crossed;
    }
    if (outcome_ != call_outcome::answered) {
        return outcome_ == call_outcome::not_run ? answer_verdict::not_run
                                                 : answer_verdict::unknown;
    }
    if (status_ >= first_error_status) {
        return answer_verdict::failed;
    }
    const bool whole = intact_ && (!body_is_known() || !expected_size_ || size_ == *expected_size_);
    return whole ? answer_verdict::answered : answer_verdict::damaged;
}

} // namespace sniperock

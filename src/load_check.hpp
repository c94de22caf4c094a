/** @file load_check.hpp Checks that an answer is whole and belongs to its call. */
#pragma once

#include "http_type.hpp"
#include "load_type.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace sniperock {

/** How one attempt ended, as far as the answer tells. */
enum class answer_verdict { answered, failed, not_run, unknown, crossed, damaged };

/** Checks one answer while its body arrives. */
class answer_checker {
public:
    /**
     * @param id the request id that was sent.
     * @param body_digest XXH3 in decimal of the request's body; empty if it had none.
     * @param check_bodies the answer comes from a stand-in server and its body is known.
     */
    answer_checker(const load_stream& stream, std::string id, std::string body_digest,
                   bool check_bodies);

    /** Takes the head in; call once, before any body. */
    void begin(const http_head& head);
    /** Takes the next bytes of the body in. */
    void add(std::string_view piece);
    /** The verdict on the whole answer. */
    [[nodiscard]] answer_verdict finish() const;
    /** Why the call was not answered, as the answer says; empty if it says nothing. */
    [[nodiscard]] const std::string& reason() const { return reason_; }

private:
    [[nodiscard]] bool body_is_known() const;
    [[nodiscard]] bool request_was_whole(const http_head& head) const;
    void expect_body(const http_head& head);

    const load_stream& stream_;
    std::string id_;
    std::string body_digest_;
    bool check_bodies_;
    call_outcome outcome_ = call_outcome::answered;
    int status_ = 0;
    bool own_ = true;
    bool intact_ = true;
    std::string reason_;
    std::uint64_t seed_ = 0;
    std::uint64_t offset_ = 0;
    std::uint64_t size_ = 0;
    std::optional<std::uint64_t> expected_size_;
};

} // namespace sniperock

/** @file http_parser.hpp Incremental parser for consecutive HTTP/1.1 messages on a connection. */
#pragma once

#include "http_check.hpp"
#include "http_type.hpp"

#include <cstddef>
#include <memory>
#include <string_view>
#include <vector>

namespace sniperock {

/** Kind of message to parse. */
enum class http_message_kind { request, response };

/**
 * Parses messages from input fed in arbitrary pieces. Body bytes are returned as views into the
 * input buffer, without a copy. Messages with ambiguous framing are rejected.
 */
class http_message_parser {
public:
    /**
     * @param kind kind of message that the peer sends.
     * @param max_head_bytes size limit for a message head.
     */
    http_message_parser(http_message_kind kind, std::size_t max_head_bytes);
    ~http_message_parser();
    http_message_parser(const http_message_parser&) = delete;
    http_message_parser& operator=(const http_message_parser&) = delete;

    /** Prepares for the next message. @param head_request true for a response to a HEAD request. */
    void reset(bool head_request = false);

    /**
     * Parses @p data until it ends, the head is complete, or the message is complete. A call that
     * completes the head returns no body views.
     * @return the number of bytes consumed.
     * @throws http_syntax_error if the input is malformed.
     */
    std::size_t feed(std::string_view data);

    /** Signals the end of input. @throws http_syntax_error if the message is incomplete. */
    void finish();

    [[nodiscard]] bool head_complete() const;
    [[nodiscard]] bool message_complete() const;
    /** True if parsing of the current message has begun. */
    [[nodiscard]] bool started() const;
    /** Valid once head_complete(). */
    [[nodiscard]] http_head& head();
    /** Body views from the last feed(); valid while its input buffer is. */
    [[nodiscard]] const std::vector<std::string_view>& body() const;

private:
    struct impl;

    std::size_t feed_head(std::string_view data);
    std::size_t feed_body(std::string_view data);

    std::unique_ptr<impl> impl_;
};

} // namespace sniperock

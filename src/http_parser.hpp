/** @file http_parser.hpp Incremental parsing of one HTTP/1.1 message after another on one
 * connection. */
#pragma once

#include "http_check.hpp"
#include "http_type.hpp"

#include <cstddef>
#include <memory>
#include <string_view>
#include <vector>

namespace sniperock {

/** Which side of a connection is parsed. */
enum class http_message_kind { request, response };

/**
 * Parses messages from fed bytes. Body bytes are handed out as views into the fed
 * buffer, so nothing is copied. Message framing that can be read in two ways is refused.
 */
class http_message_parser {
public:
    /**
     * @param side what the peer sends.
     * @param max_head_bytes longest head accepted.
     */
    http_message_parser(http_message_kind side, std::size_t max_head_bytes);
    ~http_message_parser();
    http_message_parser(const http_message_parser&) = delete;
    http_message_parser& operator=(const http_message_parser&) = delete;

    /** Starts over for the next message. @param head_request the response answers a HEAD request.
     */
    void reset(bool head_request = false);

    /**
     * Parses @p data until it ends, the head is complete, or the message is complete. A feed that
     * completes the head hands out no body.
     * @return the number of bytes consumed.
     * @throws http_syntax_error if the bytes are not well formed.
     */
    std::size_t feed(std::string_view data);

    /** Tells the parser that the peer closed its side. @throws http_syntax_error if mid-message. */
    void finish();

    [[nodiscard]] bool head_complete() const;
    [[nodiscard]] bool message_complete() const;
    /** Any byte of the current message was seen. */
    [[nodiscard]] bool started() const;
    /** Valid once head_complete(). */
    [[nodiscard]] http_head& head();
    /** Body views produced by the last feed(). */
    [[nodiscard]] const std::vector<std::string_view>& body() const;

private:
    struct impl;

    std::size_t feed_head(std::string_view data);
    std::size_t feed_body(std::string_view data);

    std::unique_ptr<impl> impl_;
};

} // namespace sniperock

/** @file http_connection.hpp A connection to a server, and the messages on it. */
#pragma once

#include "async_func.hpp"
#include "http_parser.hpp"
#include "net_stream.hpp"
#include "upstream_type.hpp"

#include <memory>
#include <string>
#include <string_view>

namespace sniperock {

/** How reading an answer went on. */
enum class read_progress {
    /** There is more to come. */
    more,
    /** The message is whole. */
    complete,
    /** The connection ended or broke first, or what came is not an answer. */
    broken,
};

/**
 * A connection on which one message is exchanged at a time. Closing it ends whatever waits on it.
 */
class http_connection : public std::enable_shared_from_this<http_connection> {
public:
    explicit http_connection(tcp_socket socket);

    /** Connects. @return false if that failed. */
    task<bool> connect(const asio::ip::tcp::endpoint& endpoint);
    /** Sends a request; what the system does not take at once goes on in the background. */
    void send(std::string_view bytes, bool head_request);
    /**
     * Reads up to the end of the head of the answer to this request.
     * @param attempt_header header that echoes the request's id.
     * @param attempt_id the id sent; an answer with another id is skipped. Empty accepts any.
     * Broken if what comes before the answer's body is longer than skipped answers can be.
     */
    task<read_progress> read_head(std::string_view attempt_header, std::string_view attempt_id);
    /** Reads the next piece of the body and appends it to @p body. */
    task<read_progress> read_body(std::string& body);
    void close() { stream_.close(); }

    [[nodiscard]] http_head& head() { return parser_.head(); }
    [[nodiscard]] bool is_open() const { return stream_.is_open(); }
    /** A byte of the last request may have reached the server. */
    [[nodiscard]] bool sent() const { return sent_; }
    /** A byte of an answer came. */
    [[nodiscard]] bool response_started() const { return received_ > 0; }
    /** Bytes that came since the request was sent, those that frame the answer counted. */
    [[nodiscard]] std::size_t received() const { return received_; }
    /** It carried an answer before. */
    [[nodiscard]] bool reused() const { return messages_ > 0; }
    /** Nothing speaks against another request on it. */
    [[nodiscard]] bool reusable();
    /** Marks the end of an exchange. @param keep_for how long it may stay idle. */
    void mark_idle(local_time now, milliseconds keep_for);
    /** It carried a whole answer within the last @p span. */
    [[nodiscard]] bool used_within(local_time now, nanoseconds span) const
    {
        return messages_ > 0 && now - finished_at_ <= span;
    }
    /** It has been idle for too long. */
    [[nodiscard]] bool idle_expired(local_time now) const { return now >= idle_until_; }
    /** It has been idle for too long, was closed by the server, or has bytes of no request. */
    [[nodiscard]] bool stale(local_time now);

private:
    task<bool> receive();
    task<read_progress> skip_body();
    void begin_message();
    void flush();

    net_stream stream_;
    http_message_parser parser_;
    /** Received and not yet parsed. */
    std::string pending_;
    bool head_request_ = false;
    bool sent_ = false;
    std::size_t received_ = 0;
    bool whole_ = false;
    bool flushing_ = false;
    bool peer_closed_ = false;
    unsigned messages_ = 0;
    local_time finished_at_;
    local_time idle_until_;
};

} // namespace sniperock

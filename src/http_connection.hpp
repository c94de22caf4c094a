/** @file http_connection.hpp A client connection to a server. */
#pragma once

#include "async_func.hpp"
#include "http_parser.hpp"
#include "net_stream.hpp"
#include "upstream_type.hpp"

#include <memory>
#include <string>
#include <string_view>

namespace sniperock {

/** Outcome of one step of reading a response. */
enum class read_progress {
    /** The message is incomplete. */
    incomplete,
    /** The message is complete. */
    complete,
    /** The connection ended or failed before that, or the input is not a valid response. */
    broken,
};

/**
 * A connection that carries one exchange at a time. Closing it ends all pending waits on it.
 */
class http_connection : public std::enable_shared_from_this<http_connection> {
public:
    explicit http_connection(tcp_socket socket);

    /** Connects and sets the socket options. @return false on failure. */
    task<bool> connect(const asio::ip::tcp::endpoint& endpoint);
    /** Sends a request; bytes that the socket does not accept at once are sent in the background.
     */
    void send(std::string_view bytes, bool head_request);
    /** Sends further bytes of the request, such as its body. */
    void send_more(std::string_view bytes);
    /** True if the socket has accepted all bytes sent so far. */
    [[nodiscard]] bool flushed() const { return stream_.flushed(); }
    /**
     * Reads up to the end of the head of the final response to the last request.
     * @param attempt_header response header that echoes the request's attempt id. If empty, any
     * response is accepted.
     * @param attempt_id id sent with the request. Responses that may be late copies of the one to
     * an earlier request are skipped: those with another id, and those without an id unless this
     * is the connection's first request. If empty, the request has no id, and responses that have
     * one are skipped.
     * @return broken also if the size limit for bytes before the body is exceeded.
     */
    task<read_progress> read_head(std::string_view attempt_header, std::string_view attempt_id);
    /** Reads the next part of the body and appends it to @p body. */
    task<read_progress> read_body(std::string& body);
    void close() { stream_.close(); }
    /** True if the server or the network ended the connection, rather than close(). */
    [[nodiscard]] bool lost() const { return lost_; }
    /** True if connect() failed as nothing listens at the address. */
    [[nodiscard]] bool refused() const { return refused_; }

    [[nodiscard]] http_head& head() { return parser_.head(); }
    [[nodiscard]] bool is_open() const { return stream_.is_open(); }
    /** True if a byte of the last request may have reached the server. */
    [[nodiscard]] bool sent() const { return sent_; }
    /** True if a byte was received since the last request was sent. */
    [[nodiscard]] bool response_started() const { return received_ > 0; }
    /** Bytes received since the last request was sent, including heads and framing. */
    [[nodiscard]] std::size_t received() const { return received_; }
    /** True if the connection has carried a response before. */
    [[nodiscard]] bool reused() const { return response_count_ > 0; }
    /** True if another request may be sent on the connection. */
    [[nodiscard]] bool reusable();
    /** Marks the end of an exchange. @param idle_timeout time that it may stay idle. */
    void mark_idle(local_time now, milliseconds idle_timeout);
    /** True if the connection carried a complete response within the last @p window. */
    [[nodiscard]] bool used_within(local_time now, nanoseconds window) const
    {
        return response_count_ > 0 && now - last_response_at_ <= window;
    }
    /** True if the idle timeout has passed. */
    [[nodiscard]] bool idle_expired(local_time now) const { return now >= idle_deadline_; }
    /** True if the idle timeout has passed, the server closed the connection, or unsolicited bytes
     * arrived. */
    [[nodiscard]] bool stale(local_time now);

private:
    task<bool> receive();
    task<read_progress> skip_body();
    [[nodiscard]] bool may_be_late_copy(std::string_view attempt_header,
                                        std::string_view attempt_id);
    void reset_parser();
    void flush();

    net_stream stream_;
    http_message_parser parser_;
    /** Received and not yet parsed input. */
    std::string unparsed_;
    bool head_request_ = false;
    bool sent_ = false;
    std::size_t received_ = 0;
    bool response_complete_ = false;
    bool flushing_ = false;
    bool peer_closed_ = false;
    bool lost_ = false;
    /** A write met an error, which the reads after it do not see again. */
    bool write_failed_ = false;
    bool refused_ = false;
    unsigned request_count_ = 0;
    unsigned response_count_ = 0;
    local_time last_response_at_;
    local_time idle_deadline_;
};

} // namespace sniperock

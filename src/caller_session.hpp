/** @file caller_session.hpp A caller's connection, from accept to close. */
#pragma once

#include "caller_exchange.hpp"
#include "config_type.hpp"
#include "http_parser.hpp"
#include "net_stream.hpp"

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace sniperock {

/** State shared by the sessions of one listening port. */
struct session_context {
    /** Called with each complete request. */
    std::function<void(const exchange_ptr&)> handle;
    caller_limits limits;
    /** Bytes of request bodies that are held. */
    std::shared_ptr<body_memory> bodies = std::make_shared<body_memory>();
    /** Limit on the bytes of bodies at which a new body is refused; 0 disables it. */
    std::size_t max_body_memory = 0;
    /** A request with a larger body is dispatched before the body is complete; 0 if none is. */
    std::size_t stream_threshold = 0;
    /** Connections are closed after the response to their last request in progress, and no further
     * request is read before it. */
    bool draining = false;
    /** A connection is closed if its caller reads nothing for this time while bytes are due. */
    milliseconds unread_timeout{30'000};
    /** Header that carries a request id; echoed in responses that the VM generates itself. */
    std::string_view id_header;
};

/**
 * Reads requests from one connection and writes the responses in request order. Reading continues
 * while requests are processed, so that a close by the caller is detected.
 *
 * Each write, and each handler that is called, may find the connection broken and close it. So that
 * whoever called it can go on, close() marks the session and its requests and changes nothing else:
 * requests are removed, and their handlers told, by the event loop.
 */
class caller_session : public std::enable_shared_from_this<caller_session> {
public:
    caller_session(net_stream stream, std::shared_ptr<session_context> shared);
    ~caller_session() = default;
    caller_session(const caller_session&) = delete;
    caller_session& operator=(const caller_session&) = delete;

    /** Starts reading. */
    void start();
    /** Closes the connection; the requests that are in progress are abandoned by the event loop. */
    void close();
    /** Abandons the requests of a closed connection; called directly once the event loop has ended.
     */
    void abandon_requests();
    /** Closes the connection if its deadline has passed; answers an incomplete request with 408. */
    void close_if_expired(local_time now);
    /** Closes the connection if nothing is in progress on it. */
    void close_if_idle(local_time now);
    /** Lets the handlers of the requests in progress respond at once, as the process exits. */
    void end_requests();
    /** True once the connection is closed and its requests are abandoned. */
    [[nodiscard]] bool closed() const { return closed_ && exchanges_.empty(); }
    /** True if a request or its response is incomplete, the first request may be on its way, or the
     * caller has not closed its side after the last response. */
    [[nodiscard]] bool busy(local_time now) const;

private:
    friend class caller_exchange;

    void wait_for_input();
    void on_input();
    void parse_requests(std::string_view data);
    bool parse_some(std::string_view& data);
    bool accept_head();
    bool receive_body();
    bool check_body_limits();
    void dispatch();
    void end_request();
    [[nodiscard]] bool may_parse() const;
    bool awaits_delivery(local_time now);
    void resume_parsing();
    void reject_streaming(int status);
    void reject(int status);
    void write_responses();
    void write(std::string_view bytes);
    void flush_when_writable();
    void handle_flushed();
    void set_idle_deadline(local_time now);
    void end_truncated();
    void abandon_requests_later();
    void begin_linger();

    net_stream stream_;
    /** Shared ownership, because a session may outlive its server. */
    std::shared_ptr<session_context> shared_;
    http_message_parser parser_;
    /** Body of the request that is being received; null before its head is complete. */
    body_ptr body_;
    local_time head_received_at_;
    /** The request whose body is still being received although it was dispatched. */
    exchange_ptr streaming_;
    /** Received input, not yet parsed because the pipelining limit is reached or the body is full.
     */
    std::string unparsed_;
    std::deque<exchange_ptr> exchanges_;
    /** Counts while everything is delivered: until then the connection may be idle, or linger. */
    local_time deadline_;
    /** Counts while bytes are undelivered: until then the caller has to read some. */
    local_time unread_deadline_;
    /** Bytes that were undelivered at the last check, and those written since. */
    std::size_t undelivered_ = 0;
    local_time accepted_at_;
    /** A request has been received completely, or enough of it to dispatch it. */
    bool had_request_ = false;
    bool head_checked_ = false;
    bool waiting_for_input_ = false;
    bool flushing_ = false;
    /** No more requests are read; the connection is closed after the last response. */
    bool no_more_requests_ = false;
    /** The last response is written; input is discarded until the caller closes. */
    bool lingering_ = false;
    bool closed_ = false;
};

} // namespace sniperock

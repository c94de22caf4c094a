/** @file caller_exchange.hpp A caller's request and the response to it. */
#pragma once

#include "clock_type.hpp"
#include "http_type.hpp"
#include "request_body.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace sniperock {

class caller_session;

/** A request; its body may still be arriving. */
struct caller_request {
    http_head head;
    body_ptr body;
    /** When the last byte of the head was read. */
    local_time started_at;
    /** When the request was dispatched: its body was complete, or too large to wait for. */
    local_time received_at;
    /** Returns the Host header without the port; empty if there is none. */
    [[nodiscard]] std::string_view host() const
    {
        const auto value = head.headers.find("host").value_or("");
        return value.substr(0, value.find(':'));
    }
};

/** A response before body framing is applied. */
struct caller_response {
    int status = 503;
    http_headers headers;
    std::string body;
};

/**
 * A request and its response. Pipelined requests of one connection may be processed concurrently;
 * their responses are written in request order.
 */
class caller_exchange {
public:
    caller_exchange(std::shared_ptr<caller_session> session, caller_request request);

    [[nodiscard]] const caller_request& request() const { return request_; }
    /** True if the connection was closed before the response was complete. */
    [[nodiscard]] bool abandoned() const { return abandoned_; }
    /** Sets a handler that is called once if the connection closes before the response is complete.
     */
    void on_abandoned(std::function<void()> handler) { on_abandoned_ = std::move(handler); }
    /** Sets a handler that is called once if the process exits before the response is complete; it
     * should respond. */
    void on_exit(std::function<void()> handler) { on_exit_ = std::move(handler); }

    /** Sends a complete response. */
    void respond(const caller_response& response);
    /** Starts a response whose body is streamed. @param length body bytes; 0 if not known. */
    void begin(const caller_response& head, body_framing framing, std::uint64_t length);
    /** Appends a piece of the body. */
    void append(std::string_view piece);
    /** Ends the body. */
    void finish();
    /** Sends another response instead of one that cannot be completed.
     * @return false if a part of it has been written to the connection, or all of it is ready. */
    bool replace(const caller_response& response);
    /** Ends a response that cannot be completed, a part of which has been written. The responses
     * before it and that part are sent; then the connection is closed, so that the caller does not
     * take the response for complete. */
    void truncate();
    /** Closes the connection at once, with all that is unsent. */
    void abort_connection();
    /** True if output waits for the caller to read it; the producer should pause. */
    [[nodiscard]] bool backlogged() const;

private:
    friend class caller_session;

    void write_head(const caller_response& response, body_framing framing, std::uint64_t length);
    void notify_session();

    std::shared_ptr<caller_session> session_;
    caller_request request_;
    std::function<void()> on_abandoned_;
    std::function<void()> on_exit_;
    /** Response bytes not yet passed to the session. */
    std::string output_;
    bool chunked_ = false;
    bool head_written_ = false;
    /** The session has taken a part of the response. */
    bool output_taken_ = false;
    /** The response ends before its end. */
    bool truncated_ = false;
    bool complete_ = false;
    bool abandoned_ = false;
    /** The connection is closed after this response. */
    bool closes_connection_ = false;
};

using exchange_ptr = std::shared_ptr<caller_exchange>;

} // namespace sniperock

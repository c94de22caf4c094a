/** @file caller_session.hpp One caller's connection, from accept to close. */
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

/** What the sessions of one listening port share. */
struct session_context {
    /** Takes each whole request. */
    std::function<void(const exchange_ptr&)> handle;
    caller_limits limits;
    /** Bytes of request bodies that are being read, and the most there may be. */
    std::size_t body_bytes = 0;
    std::size_t max_body_memory = 0;
    /** Connections end after the request that they are at. */
    bool draining = false;
    /** Header that carries a request's id; echoed in answers of the VM's own. */
    std::string_view id_header;
};

/**
 * Reads requests from one connection and writes their answers in order. While requests are worked
 * on, the connection is still watched, so that a caller who leaves is noticed.
 */
class caller_session : public std::enable_shared_from_this<caller_session> {
public:
    caller_session(net_stream stream, std::shared_ptr<session_context> shared);
    ~caller_session();
    caller_session(const caller_session&) = delete;
    caller_session& operator=(const caller_session&) = delete;

    /** Begins to read. */
    void start();
    /** Closes the connection; requests that wait for their answers are abandoned. */
    void close();
    /** Closes the connection if it has passed a time limit. */
    void close_if_late(local_time now);
    /** Closes the connection if no request was begun on it. */
    void close_if_idle();
    [[nodiscard]] bool closed() const { return closed_; }
    [[nodiscard]] bool busy() const { return !waiting_.empty(); }

private:
    friend class caller_exchange;

    void watch_input();
    void on_input();
    void process(std::string_view data);
    bool take_piece(std::string_view& data);
    bool head_allowed();
    bool take_body();
    void dispatch();
    void refuse(int status);
    void pump();
    void write(std::string_view bytes);
    void await_flush();
    void after_last();

    net_stream stream_;
    /** Outlives the server if the session does. */
    std::shared_ptr<session_context> shared_;
    http_message_parser parser_;
    std::string body_;
    /** Received and not yet parsed, because enough requests wait for their answers. */
    std::string pending_;
    std::deque<exchange_ptr> waiting_;
    local_time time_limit_;
    bool head_checked_ = false;
    bool watching_ = false;
    bool flushing_ = false;
    /** No more requests are read: the connection ends behind the last answer. */
    bool input_over_ = false;
    /** The last answer is written; input is dropped until the caller closes. */
    bool lingering_ = false;
    bool closed_ = false;
};

} // namespace sniperock

/** @file edge_session.hpp One caller's connection, from accept to close. */
#pragma once

#include "edge_call.hpp"
#include "edge_context.hpp"
#include "edge_stream.hpp"
#include "http_parser.hpp"

#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace sniperock {

/**
 * Reads calls from one connection, one after another, and writes their answers. While a call
 * runs, the connection is still watched, so that a caller who goes away is noticed; bytes of the
 * next call are kept. Used by one io thread.
 */
class edge_session : public std::enable_shared_from_this<edge_session> {
public:
    edge_session(edge_stream stream, edge_context& context);
    ~edge_session() = default;
    edge_session(const edge_session&) = delete;
    edge_session& operator=(const edge_session&) = delete;

    // For the server.
    /** Begins to read. */
    void start();
    /** Refuses the connection because there are too many. */
    void refuse_connection();
    /** Closes the connection and cancels its call. */
    void close();
    /** Closes the connection if it has passed its time limit. */
    void close_if_late(local_time now);
    /** Closes the connection unless a call runs or a head has begun. */
    void close_if_idle();
    [[nodiscard]] bool closed() const { return closed_; }

    // For the call.
    [[nodiscard]] const http_head& request() { return parser_.head(); }
    /** The request's body was read whole. */
    [[nodiscard]] bool request_complete() const { return parser_.message_complete(); }
    /** Hands body bytes to the call as long as it wants them, and reads more. */
    void pump_body();
    /** Tells a caller that waits for it to send the body. */
    void allow_body();
    /** Writes bytes of an answer. @return false if the connection broke. */
    bool write(std::span<const std::string_view> parts);
    /** Writes an answer of the entry vm's own. */
    void write_local(const local_answer& answer);
    /** Bytes wait for the caller to read. */
    [[nodiscard]] bool backlogged() const { return !stream_.flushed(); }
    /** The connection ends after this call. */
    void close_after_call() { keep_open_ = false; }
    /** True if the connection ends after this call; the answer has to say so. */
    [[nodiscard]] bool closing_after_call()
    {
        keep_open_ = keep_open_ && !context_.draining;
        return !keep_open_;
    }
    /** The call is over. @param whole false breaks the connection off. */
    void call_done(bool whole);

private:
    void watch_input();
    void on_input();
    void leave();
    void process(std::string_view data);
    void take_head();
    void feed_body(std::string_view data);
    void hand_over_body();
    void handle_locate(const edge_router& router);
    void handle_call();
    bool find_plan(const std::shared_ptr<const edge_router>& router);
    bool body_allowed();
    void refuse(int status, edge_reason reason, refused_input kind);
    void refuse(int status, edge_reason reason);
    void refuse_malformed(const http_syntax_error& fault);
    void write_answer(int status, const http_headers& headers, std::string_view body);
    void next_request();
    void finish_connection();
    void await_flush();
    void drained();

    edge_stream stream_;
    edge_context& context_;
    http_message_parser parser_;
    std::shared_ptr<edge_call> call_;
    /** Bytes received and not yet parsed. */
    std::string pending_;
    local_time time_limit_;
    std::uint64_t body_bytes_ = 0;
    /** The plan of the last key on this connection. */
    std::shared_ptr<const edge_router> router_;
    std::string key_;
    const plan* plan_ = nullptr;
    plan_series* series_ = nullptr;
    bool expects_continue_ = false;
    bool watching_ = false;
    bool flushing_ = false;
    /** Depth of work that must not be entered anew. */
    int busy_ = 0;
    bool keep_open_ = true;
    /** The answer is written; input is dropped until the caller closes. */
    bool lingering_ = false;
    bool closed_ = false;
};

} // namespace sniperock

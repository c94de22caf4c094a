/** @file edge_attempt.hpp One attempt at a call on one server. */
#pragma once

#include "edge_context.hpp"
#include "edge_slot.hpp"

#include <memory>
#include <span>
#include <string_view>

namespace sniperock {

class edge_call;

/**
 * Holds a slot and a connection to its server until it ends; reports to its call. An attempt that
 * ended reports nothing more, and its connection is closed unless the answer was whole.
 */
class edge_attempt : public std::enable_shared_from_this<edge_attempt> {
public:
    edge_attempt(edge_call& call, edge_context& context, held_slot slot);

    /**
     * Takes a kept connection or opens one; reports connected or failed, perhaps before it returns.
     * @param proven_within how lately a kept connection must have answered.
     */
    void open(milliseconds proven_within);
    /** Sends bytes of the request. */
    void send(std::span<const std::string_view> parts);
    /** All of the request was handed to send(). */
    void request_sent() { request_done_ = true; }
    /** Reads on after the caller took what was there. */
    void resume_reading();
    /** Gives the slot back and closes the connection, or keeps it if the answer was whole. */
    void end(call_result result);
    /** Other connections to the server that were idle before this attempt may be dead too. */
    void distrust_server();

    [[nodiscard]] const grant& slot() const { return slot_.get(); }
    [[nodiscard]] http_head& head() { return connection_->parser.head(); }
    [[nodiscard]] bool ended() const { return ended_; }
    /** The connection is open. */
    [[nodiscard]] bool connected() const { return connected_; }
    /** A byte of the request may have reached the server. */
    [[nodiscard]] bool written() const { return written_; }
    /** A byte of an answer came. */
    [[nodiscard]] bool heard() const { return heard_; }
    /** The connection had been used before. */
    [[nodiscard]] bool reused() const { return reused_; }
    /** The server takes no more of the request. */
    [[nodiscard]] bool request_broken() const { return request_broken_; }
    /** Unsent bytes wait for the server. */
    [[nodiscard]] bool backlogged() const { return !connection_->stream.flushed(); }
    /** The request went out whole. */
    [[nodiscard]] bool request_done() const { return request_done_ && !request_broken_; }
    [[nodiscard]] local_time started() const { return started_; }

private:
    void connect();
    void connected_now();
    void on_input();
    void parse(std::string_view data);
    bool take_head();
    void end_of_input();
    void await_flush();
    void keep_or_close();
    /** The request was written, and neither a whole answer nor the server's close has come. */
    [[nodiscard]] bool server_may_run() const;

    edge_call* call_;
    edge_context& context_;
    held_slot slot_;
    std::shared_ptr<upstream_connection> connection_;
    local_time started_;
    local_time head_at_;
    edge_timers::timer_key connect_timer_{};
    bool connected_ = false;
    bool reused_ = false;
    bool written_ = false;
    bool heard_ = false;
    bool head_taken_ = false;
    bool whole_ = false;
    bool crossed_ = false;
    bool request_done_ = false;
    bool request_broken_ = false;
    bool flushing_ = false;
    bool peer_closed_ = false;
    bool ended_ = false;
};

} // namespace sniperock

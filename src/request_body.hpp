/** @file request_body.hpp The body of a request, which may still be arriving while it is sent on.
 */
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace sniperock {

/** Bytes of request bodies that a VM holds. */
struct body_memory {
    std::size_t bytes = 0;
    std::size_t peak_bytes = 0;
};

/**
 * Buffer between the caller that sends a body and the attempt that sends it on. All bytes are kept,
 * so that another attempt can send them again, until more than max_kept arrive; then those sent are
 * discarded to make room. Used by one thread.
 */
class request_body {
public:
    /** Maximum number of bytes held of one body. */
    static constexpr std::size_t max_kept = 262'144;

    explicit request_body(std::shared_ptr<body_memory> memory);
    ~request_body();
    request_body(const request_body&) = delete;
    request_body& operator=(const request_body&) = delete;

    // For the session that receives the body.

    void append(std::string_view piece);
    /** The last byte was received. */
    void set_complete();
    /** True if no more should be received until bytes were sent on. */
    [[nodiscard]] bool full() const { return held_.size() >= max_kept; }
    /** Sets a handler that is called when the body is no longer full. */
    void on_room(std::function<void()> handler) { on_room_ = std::move(handler); }

    // For the attempt that sends the body on.

    [[nodiscard]] bool complete() const { return complete_; }
    /** Bytes received so far. */
    [[nodiscard]] std::size_t received() const { return first_ + held_.size(); }
    /** True if all received bytes are held, so that the body can be sent from its begin. */
    [[nodiscard]] bool replayable() const { return first_ == 0; }
    /** The received bytes from @p offset on; @p offset must not be below a released one. */
    [[nodiscard]] std::string_view from(std::size_t offset) const;
    /** The bytes before @p offset were sent; they are discarded if the body is full. */
    void release(std::size_t offset);
    /** Sets a handler that is called when bytes arrive or the body is complete, in place of an
     * earlier one. @return its owner; the handler is no longer called once that is gone. */
    [[nodiscard]] std::shared_ptr<const void> on_received(std::function<void()> handler);

private:
    void notify_received() const;

    std::shared_ptr<body_memory> memory_;
    std::string held_;
    /** Number of bytes discarded from the begin. */
    std::size_t first_ = 0;
    bool complete_ = false;
    std::function<void()> on_room_;
    std::weak_ptr<const std::function<void()>> on_received_;
};

using body_ptr = std::shared_ptr<request_body>;

} // namespace sniperock

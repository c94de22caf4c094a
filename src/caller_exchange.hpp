/** @file caller_exchange.hpp One request of a caller and its answer. */
#pragma once

#include "clock_type.hpp"
#include "http_type.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace sniperock {

class caller_session;

/** A whole request. */
struct caller_request {
    http_head head;
    std::string body;
    /** When its last byte was read. */
    local_time received_at;
    /** The Host header without a port; empty if absent. */
    [[nodiscard]] std::string_view host() const
    {
        const auto value = head.headers.find("host").value_or("");
        return value.substr(0, value.find(':'));
    }
};

/** An answer before it is framed. */
struct caller_response {
    int status = 503;
    http_headers headers;
    std::string body;
};

/**
 * A request that waits for its answer. Requests of one connection may be worked on at the same
 * time; their answers are written in the order of the requests.
 */
class caller_exchange {
public:
    caller_exchange(std::shared_ptr<caller_session> session, caller_request request);

    [[nodiscard]] const caller_request& request() const { return request_; }
    /** The caller closed its connection; no answer will be delivered. */
    [[nodiscard]] bool abandoned() const { return abandoned_; }
    /** Called once when the caller leaves before the answer is complete. */
    void on_abandoned(std::function<void()> call) { on_abandoned_ = std::move(call); }

    /** Answers at once with a whole body. */
    void respond(const caller_response& answer);
    /** Begins an answer whose body follows in pieces. @param length 0 if it is not known. */
    void begin(const caller_response& head, body_framing framing, std::uint64_t length);
    /** Adds a piece of the body. */
    void append(std::string_view piece);
    /** The body is whole. */
    void finish();
    /** Breaks the connection off, so that the answer does not look whole. */
    void abort_connection();
    /** Pieces wait to be read by the caller; more should not be produced yet. */
    [[nodiscard]] bool backlogged() const;

private:
    friend class caller_session;

    void write_head(const caller_response& answer, body_framing framing, std::uint64_t length);
    void changed();

    std::shared_ptr<caller_session> session_;
    caller_request request_;
    std::function<void()> on_abandoned_;
    /** Bytes of the answer that the session has not taken yet. */
    std::string out_;
    bool chunked_ = false;
    bool begun_ = false;
    bool done_ = false;
    bool abandoned_ = false;
    /** The connection ends behind this answer. */
    bool last_ = false;
};

using exchange_ptr = std::shared_ptr<caller_exchange>;

} // namespace sniperock

/** @file caller_exchange.cpp A caller's request and the response to it. */
#include "caller_exchange.hpp"

#include "caller_session.hpp"
#include "http_write.hpp"

namespace sniperock {

caller_exchange::caller_exchange(std::shared_ptr<caller_session> session, caller_request request)
    : session_(std::move(session)), request_(std::move(request))
{
}

void caller_exchange::respond(const caller_response& response)
{
    if (head_written_ || abandoned_) {
        return;
    }
    const bool bodiless = request_.head.method == "HEAD";
    write_head(response, body_framing::length, response.body.size());
    if (!bodiless) {
        output_ += response.body;
    }
    finish();
}

void caller_exchange::begin(const caller_response& head, body_framing framing, std::uint64_t length)
{
    if (head_written_ || abandoned_) {
        return;
    }
    chunked_ = framing != body_framing::length;
    write_head(head, chunked_ ? body_framing::chunked : framing, length);
    notify_session();
}

void caller_exchange::write_head(const caller_response& response, body_framing framing,
                                 std::uint64_t length)
{
    head_written_ = true;
    // The rest of a body that nothing reads any more would delay the next request.
    const bool body_unread = request_.body && !request_.body->complete();
    const bool should_close = closes_connection_ || session_->shared_->draining || body_unread;
    // Requests pipelined after this one still get responses, so only the last response may close
    // the connection.
    closes_connection_ = should_close && session_->exchanges_.back().get() == this;
    session_->no_more_requests_ = session_->no_more_requests_ || closes_connection_;
    append_status_line(output_, response.status);
    append_end_to_end_headers(output_, response.headers);
    const auto& id_header = session_->shared_->id_header;
    const auto id = id_header.empty() ? std::nullopt : request_.head.headers.find(id_header);
    if (id && !response.headers.find(id_header)) {
        append_header(output_, id_header, *id);
    }
    append_framing(output_, framing, length);
    if (closes_connection_) {
        append_header(output_, "Connection", "close");
    }
    output_ += "\r\n";
}

void caller_exchange::append(std::string_view piece)
{
    if (abandoned_ || complete_ || piece.empty()) {
        return;
    }
    if (chunked_) {
        output_ += chunk_size_line(piece.size());
    }
    output_ += piece;
    if (chunked_) {
        output_ += chunk_suffix;
    }
    notify_session();
}

void caller_exchange::finish()
{
    if (abandoned_ || complete_) {
        return;
    }
    if (chunked_) {
        output_ += last_chunk;
    }
    complete_ = true;
    on_abandoned_ = nullptr;
    on_exit_ = nullptr;
    notify_session();
}

bool caller_exchange::replace(const caller_response& response)
{
    if (output_taken_ || complete_ || abandoned_) {
        return false;
    }
    output_.clear();
    head_written_ = false;
    chunked_ = false;
    respond(response);
    return true;
}

void caller_exchange::truncate()
{
    if (abandoned_ || complete_) {
        return;
    }
    truncated_ = true;
    complete_ = true;
    on_abandoned_ = nullptr;
    on_exit_ = nullptr;
    notify_session();
}

void caller_exchange::abort_connection()
{
    complete_ = true;
    on_abandoned_ = nullptr;
    on_exit_ = nullptr;
    session_->close();
}

bool caller_exchange::backlogged() const
{
    return !abandoned_ && (!output_.empty() || !session_->stream_.flushed());
}

void caller_exchange::notify_session()
{
    session_->write_responses();
}

} // namespace sniperock

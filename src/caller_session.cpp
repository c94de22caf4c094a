/** @file caller_session.cpp One caller's connection, from accept to close. */
#include "caller_session.hpp"

#include "http_write.hpp"
#include "refusal.hpp"

#include <algorithm>
#include <array>
#include <ranges>

namespace sniperock {
namespace {

/** Requests of one connection that are worked on at the same time. */
constexpr std::size_t max_waiting = 16;
/** How long a closing connection waits for the caller to close its side. */
constexpr milliseconds linger_time{1000};

} // namespace

caller_session::caller_session(net_stream stream, std::shared_ptr<session_context> shared)
    : stream_(std::move(stream)), shared_(std::move(shared)),
      parser_(http_message_kind::request,
              static_cast<std::size_t>(shared_->limits.max_header_bytes)),
      time_limit_(boot_clock::now() + shared_->limits.idle_timeout)
{
}

caller_session::~caller_session()
{
    shared_->body_bytes -= body_.size();
}

void caller_session::start()
{
    watch_input();
}

void caller_session::close()
{
    if (std::exchange(closed_, true)) {
        return;
    }
    stream_.close();
    for (const auto& item : std::exchange(waiting_, {})) {
        item->abandoned_ = true;
        if (const auto call = std::exchange(item->on_abandoned_, nullptr)) {
            call();
        }
    }
}

void caller_session::close_if_late(local_time now)
{
    if (closed_ || !waiting_.empty() || now <= time_limit_) {
        return;
    }
    if (parser_.started() && !lingering_ && !input_over_) {
        refuse(http_status::request_timeout);
        return;
    }
    close();
}

void caller_session::close_if_idle()
{
    if (waiting_.empty() && !parser_.started() && pending_.empty() && stream_.flushed()) {
        close();
    }
}

void caller_session::watch_input()
{
    if (watching_ || closed_) {
        return;
    }
    watching_ = true;
    stream_.wait_read([self = shared_from_this()](const asio::error_code& error) {
        self->watching_ = false;
        if (!self->closed_ && !error) {
            self->on_input();
        }
    });
}

void caller_session::on_input()
{
    const auto buffer = read_buffer_of<caller_session>();
    asio::error_code error;
    const auto size = stream_.read(buffer, error);
    if (error) {
        // The caller went away, or closed its side, which counts as the same.
        close();
        return;
    }
    const std::string_view data{buffer.data(), size};
    if (lingering_ || input_over_) {
        watch_input();
        return;
    }
    if (waiting_.size() >= max_waiting || !pending_.empty()) {
        pending_.append(data);
    }
    else {
        process(data);
    }
    // Beyond this the caller has to wait; its leaving is then noticed by writing.
    if (pending_.size() < read_buffer_size) {
        watch_input();
    }
}

/** Parses requests and hands them on until the input ends or enough are waiting. */
void caller_session::process(std::string_view data)
{
    const auto self = shared_from_this();
    try {
        while (!data.empty() && !closed_ && !input_over_ && waiting_.size() < max_waiting) {
            if (!take_piece(data)) {
                return;
            }
        }
    }
    catch (const http_syntax_error& fault) {
        refuse(fault.status());
        return;
    }
    if (!closed_ && !input_over_) {
        pending_.append(data);
    }
}

/** Feeds the parser once. @return false if the connection takes no more requests. */
bool caller_session::take_piece(std::string_view& data)
{
    if (!parser_.started()) {
        time_limit_ = boot_clock::now() + shared_->limits.header_timeout;
    }
    data.remove_prefix(parser_.feed(data));
    if (!parser_.head_complete()) {
        return true;
    }
    if (!std::exchange(head_checked_, true) && !head_allowed()) {
        return false;
    }
    if (!take_body()) {
        return false;
    }
    if (parser_.message_complete()) {
        dispatch();
    }
    return true;
}

bool caller_session::head_allowed()
{
    const auto& head = parser_.head();
    if (head.body_length > static_cast<std::uint64_t>(shared_->limits.max_body_bytes)) {
        refuse(http_status::too_large);
        return false;
    }
    time_limit_ = boot_clock::now() + shared_->limits.idle_timeout;
    const auto expectation = head.headers.find("expect");
    if (!expectation) {
        return true;
    }
    if (!equal_ignoring_case(*expectation, "100-continue")) {
        refuse(http_status::expectation_failed);
        return false;
    }
    if (!parser_.message_complete() && waiting_.empty()) {
        write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    return true;
}

bool caller_session::take_body()
{
    for (const auto piece : parser_.body()) {
        body_.append(piece);
        shared_->body_bytes += piece.size();
    }
    if (body_.size() > static_cast<std::size_t>(shared_->limits.max_body_bytes)) {
        refuse(http_status::too_large);
        return false;
    }
    if (shared_->max_body_memory > 0 && shared_->body_bytes > shared_->max_body_memory) {
        refuse(http_status::unavailable);
        return false;
    }
    return true;
}

/** Hands a whole request on. */
void caller_session::dispatch()
{
    shared_->body_bytes -= body_.size();
    caller_request request{std::move(parser_.head()), std::move(body_), boot_clock::now()};
    body_.clear();
    head_checked_ = false;
    parser_.reset();
    const auto item = std::make_shared<caller_exchange>(shared_from_this(), std::move(request));
    item->last_ = !item->request().head.keep_alive;
    input_over_ = input_over_ || item->last_;
    waiting_.push_back(item);
    shared_->handle(item);
}

/** Answers what cannot be read as a request; the connection ends behind the answer. */
void caller_session::refuse(int status)
{
    input_over_ = true;
    const auto item = std::make_shared<caller_exchange>(shared_from_this(), caller_request{});
    item->last_ = true;
    waiting_.push_back(item);
    caller_response answer{status, {}, {}};
    if (status == http_status::unavailable) {
        answer.headers.add("Retry-After", format_retry_after(default_target_latency));
    }
    item->respond(answer);
}

/** Writes what is ready, in order. */
void caller_session::pump()
{
    const auto self = shared_from_this();
    while (!closed_ && !waiting_.empty()) {
        const auto item = waiting_.front();
        if (!item->out_.empty()) {
            write(std::exchange(item->out_, {}));
        }
        if (!item->done_) {
            return;
        }
        waiting_.pop_front();
        time_limit_ = boot_clock::now() + shared_->limits.idle_timeout;
        if (item->last_) {
            after_last();
            return;
        }
    }
    if (!closed_ && !pending_.empty()) {
        const auto held = std::exchange(pending_, {});
        process(held);
        watch_input();
    }
}

/** The last answer is written: tells the caller and waits for it to close. */
void caller_session::after_last()
{
    input_over_ = true;
    lingering_ = true;
    pending_.clear();
    time_limit_ = boot_clock::now() + linger_time;
    if (stream_.flushed()) {
        stream_.shutdown_send();
    }
    watch_input();
}

void caller_session::write(std::string_view bytes)
{
    asio::error_code error;
    stream_.write({&bytes, 1}, error);
    if (error) {
        close();
        return;
    }
    await_flush();
}

void caller_session::await_flush()
{
    if (flushing_ || closed_ || stream_.flushed()) {
        return;
    }
    flushing_ = true;
    stream_.wait_write([self = shared_from_this()](const asio::error_code& error) {
        self->flushing_ = false;
        if (self->closed_) {
            return;
        }
        asio::error_code fault = error;
        if (!fault) {
            self->stream_.flush(fault);
        }
        if (fault) {
            self->close();
            return;
        }
        if (self->stream_.flushed()) {
            self->stream_.release_memory();
            if (self->lingering_) {
                self->stream_.shutdown_send();
            }
        }
        self->await_flush();
    });
}

caller_exchange::caller_exchange(std::shared_ptr<caller_session> session, caller_request request)
    : session_(std::move(session)), request_(std::move(request))
{
}

void caller_exchange::respond(const caller_response& answer)
{
    if (begun_ || abandoned_) {
        return;
    }
    const bool bodiless = request_.head.method == "HEAD";
    write_head(answer, body_framing::length, answer.body.size());
    if (!bodiless) {
        out_ += answer.body;
    }
    finish();
}

void caller_exchange::begin(const caller_response& head, body_framing framing, std::uint64_t length)
{
    if (begun_ || abandoned_) {
        return;
    }
    chunked_ = framing != body_framing::length;
    write_head(head, chunked_ ? body_framing::chunked : framing, length);
    changed();
}

void caller_exchange::write_head(const caller_response& answer, body_framing framing,
                                 std::uint64_t length)
{
    begun_ = true;
    const bool closes = last_ || session_->shared_->draining;
    // Requests behind this one are answered first; only the last answer may end the connection.
    last_ = closes && session_->waiting_.back().get() == this;
    session_->input_over_ = session_->input_over_ || last_;
    append_status_line(out_, answer.status);
    append_end_to_end_headers(out_, answer.headers);
    const auto& id_header = session_->shared_->id_header;
    const auto id = id_header.empty() ? std::nullopt : request_.head.headers.find(id_header);
    if (id && !answer.headers.find(id_header)) {
        append_header(out_, id_header, *id);
    }
    append_framing(out_, framing, length);
    if (last_) {
        append_header(out_, "Connection", "close");
    }
    out_ += "\r\n";
}

void caller_exchange::append(std::string_view piece)
{
    if (abandoned_ || done_ || piece.empty()) {
        return;
    }
    if (chunked_) {
        out_ += chunk_prefix(piece.size());
    }
    out_ += piece;
    if (chunked_) {
        out_ += chunk_suffix;
    }
    changed();
}

void caller_exchange::finish()
{
    if (abandoned_ || done_) {
        return;
    }
    if (chunked_) {
        out_ += last_chunk;
    }
    done_ = true;
    on_abandoned_ = nullptr;
    changed();
}

void caller_exchange::abort_connection()
{
    done_ = true;
    on_abandoned_ = nullptr;
    session_->close();
}

bool caller_exchange::backlogged() const
{
    return !abandoned_ && (!out_.empty() || !session_->stream_.flushed());
}

void caller_exchange::changed()
{
    session_->pump();
}

} // namespace sniperock

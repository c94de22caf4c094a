/** @file caller_session.cpp A caller's connection, from accept to close. */
#include "caller_session.hpp"

#include "http_write.hpp"
#include "refusal.hpp"

#include <asio/post.hpp>

#include <algorithm>
#include <array>
#include <ranges>

namespace sniperock {
namespace {

/** Maximum number of requests of one connection that are processed concurrently. */
constexpr std::size_t max_pipelined_requests = 16;
/** Time within which the first request of a new connection arrives, unless a packet was lost. */
constexpr milliseconds first_request_time{250};
/** Time that a closing connection waits for the caller to close its side. */
constexpr milliseconds linger_timeout{1000};

} // namespace

caller_session::caller_session(net_stream stream, std::shared_ptr<session_context> shared)
    : stream_(std::move(stream)), shared_(std::move(shared)),
      parser_(http_message_kind::request,
              static_cast<std::size_t>(shared_->limits.max_header_bytes)),
      deadline_(boot_clock::now() + shared_->limits.idle_timeout), accepted_at_(boot_clock::now())
{
}

void caller_session::start()
{
    wait_for_input();
}

void caller_session::close()
{
    if (std::exchange(closed_, true)) {
        return;
    }
    abandon_requests_later();
    stream_.close();
}

/** Marks the requests as abandoned; the event loop removes them and tells their handlers. */
void caller_session::abandon_requests_later()
{
    for (const auto& exchange : exchanges_) {
        exchange->abandoned_ = true;
    }
    asio::post(stream_.socket().get_executor(),
               [self = shared_from_this()] { self->abandon_requests(); });
}

void caller_session::abandon_requests()
{
    streaming_ = nullptr;
    for (const auto& exchange : std::exchange(exchanges_, {})) {
        exchange->on_exit_ = nullptr;
        if (const auto handler = std::exchange(exchange->on_abandoned_, nullptr)) {
            handler();
        }
    }
}

void caller_session::end_requests()
{
    const auto self = shared_from_this();
    const auto in_progress = exchanges_;
    for (const auto& exchange : in_progress) {
        if (const auto handler = std::exchange(exchange->on_exit_, nullptr)) {
            handler();
        }
    }
}

void caller_session::close_if_expired(local_time now)
{
    if (closed_ || !exchanges_.empty() || awaits_delivery(now) || now <= deadline_) {
        return;
    }
    if (parser_.started() && !lingering_ && !no_more_requests_) {
        reject(http_status::request_timeout);
        return;
    }
    close();
}

/** True while written bytes are undelivered and the caller reads some in time; closes the
 * connection if it does not. A process that exits, or input that comes after a close, would lose
 * them. */
bool caller_session::awaits_delivery(local_time now)
{
    if (undelivered_ == 0) {
        return false;
    }
    const auto before = std::exchange(undelivered_, stream_.undelivered());
    if (undelivered_ == 0) {
        set_idle_deadline(now);
    }
    else if (undelivered_ < before) {
        unread_deadline_ = now + shared_->unread_timeout;
    }
    else if (now > unread_deadline_) {
        close();
    }
    return undelivered_ > 0;
}

bool caller_session::busy(local_time now) const
{
    if (closed_) {
        return false;
    }
    const bool first_request_due = !had_request_ && now - accepted_at_ < first_request_time;
    const bool receiving = parser_.started() || !unparsed_.empty();
    // A process that exits while input is unread resets the connection, and the caller may lose
    // what it has not read yet.
    return lingering_ || !exchanges_.empty() || undelivered_ > 0 || receiving || first_request_due;
}

void caller_session::close_if_idle(local_time now)
{
    // A request that has arrived but is not read yet would be lost.
    if (!busy(now) && !stream_.has_input()) {
        close();
    }
}

void caller_session::wait_for_input()
{
    if (waiting_for_input_ || closed_) {
        return;
    }
    waiting_for_input_ = true;
    stream_.wait_read([self = shared_from_this()](const asio::error_code& error) {
        self->waiting_for_input_ = false;
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
        // A half-close by the caller is treated like a closed connection.
        close();
        return;
    }
    const std::string_view data{buffer.data(), size};
    if (lingering_ || (no_more_requests_ && !streaming_)) {
        wait_for_input();
        return;
    }
    if (!may_parse() || !unparsed_.empty()) {
        unparsed_.append(data);
    }
    else {
        parse_requests(data);
    }
    // Once this much input is unparsed, reading pauses; a closed connection is then detected only
    // by a failed write.
    if (unparsed_.size() < read_buffer_size) {
        wait_for_input();
    }
}

/** True if more input can be processed now. */
bool caller_session::may_parse() const
{
    if (streaming_) {
        return !body_->full();
    }
    // While draining, the response to each request closes the connection.
    const auto max_requests = shared_->draining ? 1 : max_pipelined_requests;
    return !no_more_requests_ && exchanges_.size() < max_requests;
}

/** Parses input that was held back. */
void caller_session::resume_parsing()
{
    if (!closed_ && !unparsed_.empty()) {
        const auto data = std::exchange(unparsed_, {});
        parse_requests(data);
        wait_for_input();
    }
}

/** Parses and dispatches requests until the data ends or a limit is reached. */
void caller_session::parse_requests(std::string_view data)
{
    const auto self = shared_from_this();
    try {
        while (!data.empty() && !closed_ && may_parse()) {
            if (!parse_some(data)) {
                return;
            }
        }
    }
    catch (const http_syntax_error& error) {
        streaming_ ? reject_streaming(error.status()) : reject(error.status());
        return;
    }
    if (!closed_ && (streaming_ || !no_more_requests_)) {
        unparsed_.append(data);
    }
}

/** Feeds the parser once and consumes its input. @return false if the request was rejected. */
bool caller_session::parse_some(std::string_view& data)
{
    if (!parser_.started()) {
        deadline_ = boot_clock::now() + shared_->limits.header_timeout;
    }
    data.remove_prefix(parser_.feed(data));
    if (!parser_.head_complete()) {
        return true;
    }
    if (!std::exchange(head_checked_, true) && !accept_head()) {
        return false;
    }
    if (!receive_body()) {
        return false;
    }
    const bool complete = parser_.message_complete();
    const bool large =
        shared_->stream_threshold > 0 && body_->received() > shared_->stream_threshold;
    if (!streaming_ && (complete || large)) {
        dispatch();
    }
    if (complete) {
        end_request();
    }
    return true;
}

bool caller_session::accept_head()
{
    const auto& head = parser_.head();
    if (head.body_length > static_cast<std::uint64_t>(shared_->limits.max_body_bytes)) {
        reject(http_status::payload_too_large);
        return false;
    }
    body_ = std::make_shared<request_body>(shared_->bodies);
    head_received_at_ = boot_clock::now();
    deadline_ = head_received_at_ + shared_->limits.idle_timeout;
    const auto expectation = head.headers.find("expect");
    if (!expectation) {
        return true;
    }
    if (!equal_ignoring_case(*expectation, "100-continue")) {
        reject(http_status::expectation_failed);
        return false;
    }
    if (!parser_.message_complete() && exchanges_.empty()) {
        write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    return true;
}

/** Adds received bytes to the body. @return false if the request was rejected. */
bool caller_session::receive_body()
{
    const auto body = body_;
    for (const auto piece : parser_.body()) {
        body->append(piece);
    }
    return !closed_ && check_body_limits();
}

bool caller_session::check_body_limits()
{
    if (body_->received() > static_cast<std::size_t>(shared_->limits.max_body_bytes)) {
        streaming_ ? reject_streaming(http_status::payload_too_large)
                   : reject(http_status::payload_too_large);
        return false;
    }
    // A body that is already sent on is bounded by its own buffer.
    const bool memory_exhausted =
        shared_->max_body_memory > 0 && shared_->bodies->bytes > shared_->max_body_memory;
    if (memory_exhausted && !streaming_) {
        reject(http_status::unavailable);
        return false;
    }
    return true;
}

/** Passes a request to the handler, whether its body is complete or not. */
void caller_session::dispatch()
{
    const bool complete = parser_.message_complete();
    caller_request request{std::move(parser_.head()), body_, head_received_at_, boot_clock::now()};
    const auto exchange = std::make_shared<caller_exchange>(shared_from_this(), std::move(request));
    exchange->closes_connection_ = !exchange->request().head.keep_alive;
    had_request_ = true;
    no_more_requests_ = no_more_requests_ || exchange->closes_connection_;
    exchanges_.push_back(exchange);
    if (complete) {
        body_->set_complete();
    }
    else {
        streaming_ = exchange;
        body_->on_room([weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->resume_parsing();
            }
        });
    }
    shared_->handle(exchange);
}

/** Prepares for the next request once the last byte of this one was received. */
void caller_session::end_request()
{
    const auto body = std::exchange(body_, nullptr);
    streaming_ = nullptr;
    head_checked_ = false;
    parser_.reset();
    if (body && !body->complete()) {
        body->set_complete();
    }
}

/** Ends a request that is already being sent on, since its body cannot be accepted. */
void caller_session::reject_streaming(int status)
{
    const auto exchange = std::exchange(streaming_, nullptr);
    if (const auto handler = std::exchange(exchange->on_abandoned_, nullptr)) {
        handler();
    }
    no_more_requests_ = true;
    exchange->closes_connection_ = true;
    exchange->respond({status, {}, {}});
}

/** Responds to a request that cannot be accepted; the connection is closed after the response. */
void caller_session::reject(int status)
{
    no_more_requests_ = true;
    caller_request request;
    if (parser_.head_complete()) {
        // The response names the request; another VM would not take it for an answer otherwise.
        request.head = parser_.head();
    }
    const auto exchange = std::make_shared<caller_exchange>(shared_from_this(), std::move(request));
    exchange->closes_connection_ = true;
    exchanges_.push_back(exchange);
    caller_response response{status, {}, {}};
    if (status == http_status::unavailable) {
        response.headers.add("Retry-After", format_retry_after(default_target_latency));
    }
    exchange->respond(response);
}

/** Writes available response data in request order. */
void caller_session::write_responses()
{
    const auto self = shared_from_this();
    while (!closed_ && !exchanges_.empty()) {
        const auto exchange = exchanges_.front();
        if (!exchange->output_.empty()) {
            exchange->output_taken_ = true;
            write(std::exchange(exchange->output_, {}));
        }
        if (closed_ || !exchange->complete_) {
            return;
        }
        if (exchange->truncated_) {
            end_truncated();
            return;
        }
        exchanges_.pop_front();
        deadline_ = boot_clock::now() + shared_->limits.idle_timeout;
        if (exchange->closes_connection_) {
            begin_linger();
            return;
        }
    }
    resume_parsing();
}

/** Closes the connection behind a response that is incomplete. Requests behind it get none. */
void caller_session::end_truncated()
{
    abandon_requests_later();
    begin_linger();
}

/** Shuts down the sending side after the last response and waits for the caller to close. */
void caller_session::begin_linger()
{
    no_more_requests_ = true;
    lingering_ = true;
    streaming_ = nullptr;
    unparsed_.clear();
    deadline_ = boot_clock::now() + linger_timeout;
    if (stream_.flushed()) {
        stream_.shutdown_send();
    }
    wait_for_input();
}

void caller_session::write(std::string_view bytes)
{
    asio::error_code error;
    if (undelivered_ == 0) {
        unread_deadline_ = boot_clock::now() + shared_->unread_timeout;
    }
    undelivered_ += bytes.size();
    stream_.write({&bytes, 1}, error);
    if (error) {
        close();
        return;
    }
    flush_when_writable();
}

void caller_session::flush_when_writable()
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
        asio::error_code flush_error = error;
        if (!flush_error) {
            self->stream_.flush(flush_error);
        }
        if (flush_error) {
            self->close();
            return;
        }
        if (self->stream_.flushed()) {
            self->handle_flushed();
        }
        self->flush_when_writable();
    });
}

/** Called once the last unsent byte was sent, which may be long after the answer was written. */
void caller_session::handle_flushed()
{
    stream_.release_memory();
    if (lingering_) {
        stream_.shutdown_send();
    }
}

/** Called once the last byte is delivered: from now on the connection is idle, or lingers. */
void caller_session::set_idle_deadline(local_time now)
{
    if (lingering_) {
        deadline_ = now + linger_timeout;
    }
    else if (!parser_.started()) {
        // The time for a head that has begun to arrive goes on.
        deadline_ = now + shared_->limits.idle_timeout;
    }
}

} // namespace sniperock

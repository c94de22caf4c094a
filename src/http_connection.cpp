/** @file http_connection.cpp A client connection to a server. */
#include "http_connection.hpp"

#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>

#include <array>

namespace sniperock {
namespace {

/** Size limit for a response head; heads of common servers stay below 16 KiB. */
constexpr std::size_t max_response_head_bytes = 65'536;
/** Limit on bytes before the body of a response: its head, interim responses, and late responses to
 * earlier requests. A server that sends more may never send the response. */
constexpr std::size_t max_bytes_before_body = 4U << 20U;

} // namespace

http_connection::http_connection(tcp_socket socket)
    : stream_(std::move(socket)), parser_(http_message_kind::response, max_response_head_bytes)
{
}

task<bool> http_connection::connect(const asio::ip::tcp::endpoint& endpoint)
{
    asio::error_code error;
    co_await stream_.socket().async_connect(endpoint,
                                            asio::redirect_error(asio::use_awaitable, error));
    refused_ = error == asio::error::connection_refused;
    if (!error) {
        stream_.set_socket_options(error);
    }
    if (!error) {
        stream_.enable_keepalive(error);
    }
    co_return !error && stream_.is_open();
}

void http_connection::reset_parser()
{
    parser_.reset(head_request_);
    response_complete_ = false;
}

void http_connection::send(std::string_view bytes, bool head_request)
{
    head_request_ = head_request;
    ++request_count_;
    reset_parser();
    received_ = 0;
    asio::error_code error;
    sent_ = stream_.write({&bytes, 1}, error) > 0 || error.value() != 0;
    write_failed_ = write_failed_ || error;
    flush();
}

void http_connection::send_more(std::string_view bytes)
{
    asio::error_code error;
    stream_.write({&bytes, 1}, error);
    // The response may be complete all the same; where it is read decides.
    write_failed_ = write_failed_ || error;
    flush();
}

/** Writes unsent bytes whenever the socket becomes writable. */
void http_connection::flush()
{
    if (flushing_ || stream_.flushed() || !stream_.is_open()) {
        return;
    }
    flushing_ = true;
    stream_.wait_write([self = shared_from_this()](const asio::error_code& error) {
        self->flushing_ = false;
        asio::error_code flush_error = error;
        if (!flush_error) {
            self->sent_ = true;
            self->stream_.flush(flush_error);
        }
        self->write_failed_ = self->write_failed_ || flush_error;
        if (!flush_error) {
            self->flush();
        }
    });
}

/** Waits for input and buffers it. @return false if the connection ended or failed. */
task<bool> http_connection::receive()
{
    asio::error_code error;
    while (!error && stream_.is_open()) {
        co_await stream_.socket().async_wait(tcp_socket::wait_read,
                                             asio::redirect_error(asio::use_awaitable, error));
        if (error || !stream_.is_open()) {
            break;
        }
        const auto buffer = read_buffer_of<http_connection>();
        const auto size = stream_.read(buffer, error);
        if (size > 0) {
            received_ += size;
            unparsed_.append(buffer.data(), size);
            co_return true;
        }
    }
    // A reset that a write has met looks like an orderly end here, and would complete a response
    // that only the end of the connection delimits.
    peer_closed_ = error == asio::error::eof && !write_failed_;
    lost_ = error && stream_.is_open();
    co_return false;
}

task<read_progress> http_connection::read_head(std::string_view attempt_header,
                                               std::string_view attempt_id)
{
    while (received_ <= max_bytes_before_body) {
        bool received = !unparsed_.empty();
        if (!received) {
            received = co_await receive();
        }
        if (!received) {
            co_return read_progress::broken;
        }
        try {
            unparsed_.erase(0, parser_.feed(unparsed_));
        }
        catch (const http_syntax_error&) {
            co_return read_progress::broken;
        }
        if (!parser_.head_complete()) {
            continue;
        }
        const bool is_final = head().status >= http_status::first_final;
        if (is_final && !may_be_late_copy(attempt_header, attempt_id)) {
            response_complete_ = parser_.message_complete();
            co_return response_complete_ ? read_progress::complete : read_progress::incomplete;
        }
        const auto skipped = co_await skip_body();
        if (skipped != read_progress::complete) {
            co_return read_progress::broken;
        }
        reset_parser();
    }
    co_return read_progress::broken;
}

/** True if the response may be a copy of the one to an earlier request on this connection, such as
 * a health probe, which has no id. Its status then says nothing about the last request. */
bool http_connection::may_be_late_copy(std::string_view attempt_header, std::string_view attempt_id)
{
    if (attempt_header.empty()) {
        return false;
    }
    const auto echoed = head().headers.find(attempt_header).value_or("");
    if (attempt_id.empty()) {
        return !echoed.empty();
    }
    return echoed.empty() ? request_count_ > 1 : echoed != attempt_id;
}

/** Discards the body of an interim response or of a response to an earlier request. */
task<read_progress> http_connection::skip_body()
{
    std::string ignored;
    auto progress = parser_.message_complete() || head().status < http_status::first_final
                        ? read_progress::complete
                        : read_progress::incomplete;
    while (progress == read_progress::incomplete && received_ <= max_bytes_before_body) {
        ignored.clear();
        progress = co_await read_body(ignored);
    }
    // A response that is delimited by the end of the connection cannot be followed by another.
    co_return head().framing == body_framing::until_close ? read_progress::broken : progress;
}

task<read_progress> http_connection::read_body(std::string& body)
{
    bool received = !unparsed_.empty();
    if (!received) {
        received = co_await receive();
    }
    try {
        if (!received) {
            if (!peer_closed_) {
                co_return read_progress::broken;
            }
            parser_.finish();
            response_complete_ = true;
            co_return read_progress::complete;
        }
        const auto consumed = parser_.feed(unparsed_);
        for (const auto piece : parser_.body()) {
            body.append(piece);
        }
        unparsed_.erase(0, consumed);
    }
    catch (const http_syntax_error&) {
        co_return read_progress::broken;
    }
    response_complete_ = parser_.message_complete();
    co_return response_complete_ ? read_progress::complete : read_progress::incomplete;
}

bool http_connection::reusable()
{
    return response_complete_ && !peer_closed_ && unparsed_.empty() && stream_.is_open() &&
           stream_.flushed() && head().keep_alive && head().framing != body_framing::until_close;
}

void http_connection::mark_idle(local_time now, milliseconds idle_timeout)
{
    ++response_count_;
    last_response_at_ = now;
    idle_deadline_ = now + idle_timeout;
    stream_.release_memory();
    std::string{}.swap(unparsed_);
}

bool http_connection::stale(local_time now)
{
    return idle_expired(now) || !stream_.is_open() || stream_.has_input();
}

} // namespace sniperock

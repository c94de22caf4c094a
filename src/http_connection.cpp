/** @file http_connection.cpp A connection to a server, and the messages on it. */
#include "http_connection.hpp"

#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>

#include <array>

namespace sniperock {
namespace {

/** Longest head of an answer; heads of usual servers stay below 16 KiB. */
constexpr std::size_t max_answer_head = 65'536;
/** Most bytes before the body of an answer: its head, interim answers, and late answers to earlier
 * requests. A server that sends more may never come to the answer. */
constexpr std::size_t max_before_body = 4U << 20U;

} // namespace

http_connection::http_connection(tcp_socket socket)
    : stream_(std::move(socket)), parser_(http_message_kind::response, max_answer_head)
{
}

task<bool> http_connection::connect(const asio::ip::tcp::endpoint& endpoint)
{
    asio::error_code error;
    co_await stream_.socket().async_connect(endpoint,
                                            asio::redirect_error(asio::use_awaitable, error));
    if (!error) {
        stream_.set_socket_options(error);
    }
    if (!error) {
        stream_.detect_silence(error);
    }
    co_return !error && stream_.is_open();
}

void http_connection::begin_message()
{
    parser_.reset(head_request_);
    whole_ = false;
}

void http_connection::send(std::string_view bytes, bool head_request)
{
    head_request_ = head_request;
    begin_message();
    received_ = 0;
    asio::error_code error;
    sent_ = stream_.write({&bytes, 1}, error) > 0 || error.value() != 0;
    flush();
}

/** Writes what is unsent whenever the system takes more. */
void http_connection::flush()
{
    if (flushing_ || stream_.flushed() || !stream_.is_open()) {
        return;
    }
    flushing_ = true;
    stream_.wait_write([self = shared_from_this()](const asio::error_code& error) {
        self->flushing_ = false;
        asio::error_code fault = error;
        if (!fault) {
            self->sent_ = true;
            self->stream_.flush(fault);
        }
        if (!fault) {
            self->flush();
        }
    });
}

/** Waits for bytes. @return false if none will come. */
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
            pending_.append(buffer.data(), size);
            co_return true;
        }
    }
    peer_closed_ = error == asio::error::eof;
    co_return false;
}

task<read_progress> http_connection::read_head(std::string_view attempt_header,
                                               std::string_view attempt_id)
{
    while (received_ <= max_before_body) {
        bool received = !pending_.empty();
        if (!received) {
            received = co_await receive();
        }
        if (!received) {
            co_return read_progress::broken;
        }
        try {
            pending_.erase(0, parser_.feed(pending_));
        }
        catch (const http_syntax_error&) {
            co_return read_progress::broken;
        }
        if (!parser_.head_complete()) {
            continue;
        }
        const auto echoed = head().headers.find(attempt_header);
        const bool other = echoed && !attempt_id.empty() && *echoed != attempt_id;
        if (!other && head().status >= http_status::first_final) {
            whole_ = parser_.message_complete();
            co_return whole_ ? read_progress::complete : read_progress::more;
        }
        const auto skipped = co_await skip_body();
        if (skipped != read_progress::complete) {
            co_return read_progress::broken;
        }
        begin_message();
    }
    co_return read_progress::broken;
}

/** Reads past an interim answer, or one that belongs to an earlier request. */
task<read_progress> http_connection::skip_body()
{
    std::string ignored;
    auto progress = parser_.message_complete() || head().status < http_status::first_final
                        ? read_progress::complete
                        : read_progress::more;
    while (progress == read_progress::more && received_ <= max_before_body) {
        ignored.clear();
        progress = co_await read_body(ignored);
    }
    // After an answer that ends with the connection nothing can follow.
    co_return head().framing == body_framing::until_close ? read_progress::broken : progress;
}

task<read_progress> http_connection::read_body(std::string& body)
{
    bool received = !pending_.empty();
    if (!received) {
        received = co_await receive();
    }
    try {
        if (!received) {
            if (!peer_closed_) {
                co_return read_progress::broken;
            }
            parser_.finish();
            whole_ = true;
            co_return read_progress::complete;
        }
        const auto consumed = parser_.feed(pending_);
        for (const auto piece : parser_.body()) {
            body.append(piece);
        }
        pending_.erase(0, consumed);
    }
    catch (const http_syntax_error&) {
        co_return read_progress::broken;
    }
    whole_ = parser_.message_complete();
    co_return whole_ ? read_progress::complete : read_progress::more;
}

bool http_connection::reusable()
{
    return whole_ && !peer_closed_ && pending_.empty() && stream_.is_open() && stream_.flushed() &&
           head().keep_alive && head().framing != body_framing::until_close;
}

void http_connection::mark_idle(local_time now, milliseconds keep_for)
{
    ++messages_;
    finished_at_ = now;
    idle_until_ = now + keep_for;
    stream_.release_memory();
    std::string{}.swap(pending_);
}

bool http_connection::stale(local_time now)
{
    return idle_expired(now) || !stream_.is_open() || stream_.has_input();
}

} // namespace sniperock

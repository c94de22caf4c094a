/** @file net_stream.hpp A non-blocking connection that keeps what the system did not take yet. */
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <array>
#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace sniperock {

/** A TCP socket bound to one io thread, without a type-erased executor. */
using tcp_socket = asio::basic_stream_socket<asio::ip::tcp, asio::io_context::executor_type>;

/** Bytes that are read at once. */
inline constexpr std::size_t read_buffer_size = 16'384;

/**
 * One buffer for all connections of a class on one thread, so that idle ones hold none.
 * @tparam Owner the class; what it read stays valid while others read into theirs.
 */
template <typename Owner>
std::span<char, read_buffer_size> read_buffer_of()
{
    thread_local std::array<char, read_buffer_size> buffer{};
    return buffer;
}

/**
 * Reads and writes without waiting. No buffer is held while nothing is unsent, so an idle
 * connection costs no buffer memory. Used by one thread.
 */
class net_stream {
public:
    explicit net_stream(tcp_socket socket) : socket_(std::move(socket)) {}

    [[nodiscard]] tcp_socket& socket() { return socket_; }
    [[nodiscard]] bool is_open() const { return socket_.is_open(); }

    /** Turns waiting and Nagle's algorithm off; to be called once the socket is connected. */
    void set_socket_options(asio::error_code& error);
    /** Lets the system break a connection whose peer has gone silent, within some seconds. */
    void detect_silence(asio::error_code& error);
    /**
     * Reads what has arrived.
     * @param buffer takes the bytes.
     * @param error set if the peer closed or the connection broke.
     * @return the number of bytes; 0 without an error means that nothing is there yet.
     */
    std::size_t read(std::span<char> buffer, asio::error_code& error);
    /** True if bytes or the peer's close wait to be read. */
    [[nodiscard]] bool has_input();
    /**
     * Writes @p parts in order and keeps what the system does not take.
     * @return the number of bytes that the system took at once.
     */
    std::size_t write(std::span<const std::string_view> parts, asio::error_code& error);
    /** Goes on with unsent bytes. */
    void flush(asio::error_code& error);
    /** Nothing is unsent. */
    [[nodiscard]] bool flushed() const { return unsent_at_ == unsent_.size(); }
    /** Gives the memory of unsent bytes back; only when flushed(). */
    void release_memory();
    /** Sends the end of the stream; reading goes on. */
    void shutdown_send();
    void close();

    /** Calls @p handler(error) once bytes or the peer's close can be read. */
    template <typename Handler>
    void wait_read(Handler&& handler)
    {
        socket_.async_wait(tcp_socket::wait_read, std::forward<Handler>(handler));
    }
    /** Calls @p handler(error) once the system takes bytes again. */
    template <typename Handler>
    void wait_write(Handler&& handler)
    {
        socket_.async_wait(tcp_socket::wait_write, std::forward<Handler>(handler));
    }

private:
    void keep_unsent(std::span<const std::string_view> parts, std::size_t taken);

    tcp_socket socket_;
    std::string unsent_;
    std::size_t unsent_at_ = 0;
};

} // namespace sniperock

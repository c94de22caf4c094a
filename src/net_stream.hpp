/** @file net_stream.hpp Non-blocking TCP stream that buffers unsent bytes. */
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

/** Maximum number of bytes per read. */
inline constexpr std::size_t read_buffer_size = 16'384;

/**
 * A read buffer shared by all connections of one class on a thread, so that idle connections need
 * no buffer.
 * @tparam Owner the class; reads by other classes do not overwrite its buffer.
 */
template <typename Owner>
std::span<char, read_buffer_size> read_buffer_of()
{
    thread_local std::array<char, read_buffer_size> buffer{};
    return buffer;
}

/**
 * Reads and writes without blocking. There is no buffer while nothing is unsent, so that an idle
 * connection needs no buffer memory. Not thread-safe.
 */
class net_stream {
public:
    explicit net_stream(tcp_socket socket) : socket_(std::move(socket)) {}

    [[nodiscard]] tcp_socket& socket() { return socket_; }
    [[nodiscard]] bool is_open() const { return socket_.is_open(); }

    /** Makes the socket non-blocking and disables Nagle's algorithm; call it once connected. */
    void set_socket_options(asio::error_code& error);
    /** Lets the kernel drop the connection within seconds if the peer stops responding. */
    void enable_keepalive(asio::error_code& error);
    /**
     * Reads available bytes.
     * @param buffer receives the bytes.
     * @param error set if the peer closed the connection or it failed.
     * @return the number of bytes; 0 without an error means that none are available yet.
     */
    std::size_t read(std::span<char> buffer, asio::error_code& error);
    /** True if input, an error or the end of the stream is pending. */
    [[nodiscard]] bool has_input();
    /**
     * Writes @p parts in order and buffers bytes that the kernel does not accept.
     * @return the number of bytes that the kernel accepted at once.
     */
    std::size_t write(std::span<const std::string_view> parts, asio::error_code& error);
    /** Writes buffered bytes. */
    void flush(asio::error_code& error);
    /** Number of bytes that the kernel has not accepted yet. */
    [[nodiscard]] std::size_t unsent() const { return unsent_.size() - unsent_offset_; }
    /** Number of bytes that the peer has not acknowledged yet, unsent ones included. Its kernel
     * acknowledges what fits its buffer, so that this falls while the peer reads. */
    [[nodiscard]] std::size_t undelivered();
    /** True if no bytes are unsent. */
    [[nodiscard]] bool flushed() const { return unsent_offset_ == unsent_.size(); }
    /** Frees the buffer for unsent bytes; call it only if flushed(). */
    void release_memory();
    /** Shuts down the sending side; reading remains possible. */
    void shutdown_send();
    void close();

    /** Calls @p handler(error) once input or the end of the stream can be read. */
    template <typename Handler>
    void wait_read(Handler&& handler)
    {
        socket_.async_wait(tcp_socket::wait_read, std::forward<Handler>(handler));
    }
    /** Calls @p handler(error) once the socket is writable. */
    template <typename Handler>
    void wait_write(Handler&& handler)
    {
        socket_.async_wait(tcp_socket::wait_write, std::forward<Handler>(handler));
    }

private:
    void append_unsent(std::span<const std::string_view> parts, std::size_t written);

    tcp_socket socket_;
    std::string unsent_;
    std::size_t unsent_offset_ = 0;
};

} // namespace sniperock

/** @file net_stream.cpp Non-blocking TCP stream. */
#include "net_stream.hpp"

#include <asio/buffer.hpp>

#include <algorithm>
#include <array>

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

namespace sniperock {
namespace {

/** Maximum number of buffers in one gather write. */
constexpr std::size_t max_gathered_parts = 8;
/** TCP keep-alive: idle seconds before the first probe, seconds between probes, and number of
 * unanswered probes after which the connection is dropped; together about three seconds. */
constexpr int keepalive_idle_s = 1;
constexpr int keepalive_interval_s = 1;
constexpr int keepalive_probes = 2;
/** The connection is dropped if sent bytes stay unacknowledged for this time. */
constexpr int unacknowledged_timeout_ms = 2500;

/** Socket control that reads the number of bytes in the kernel's send queue. */
struct send_queue_size {
    int value = 0;
    [[nodiscard]] static constexpr int name() { return SIOCOUTQ; }
    [[nodiscard]] void* data() { return &value; }
};

bool is_would_block(const asio::error_code& error)
{
    return error == asio::error::would_block || error == asio::error::try_again;
}

} // namespace

void net_stream::set_socket_options(asio::error_code& error)
{
    socket_.non_blocking(true, error);
    if (!error) {
        socket_.set_option(asio::ip::tcp::no_delay(true), error);
    }
}

void net_stream::enable_keepalive(asio::error_code& error)
{
    using asio::detail::socket_option::integer;
    socket_.set_option(asio::socket_base::keep_alive(true), error);
    socket_.set_option(integer<IPPROTO_TCP, TCP_KEEPIDLE>(keepalive_idle_s), error);
    socket_.set_option(integer<IPPROTO_TCP, TCP_KEEPINTVL>(keepalive_interval_s), error);
    socket_.set_option(integer<IPPROTO_TCP, TCP_KEEPCNT>(keepalive_probes), error);
    socket_.set_option(integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(unacknowledged_timeout_ms), error);
}

std::size_t net_stream::read(std::span<char> buffer, asio::error_code& error)
{
    const auto size = socket_.read_some(asio::buffer(buffer.data(), buffer.size()), error);
    if (is_would_block(error)) {
        error.clear();
        return 0;
    }
    return size;
}

bool net_stream::has_input()
{
    std::array<char, 1> probe{};
    asio::error_code error;
    socket_.receive(asio::buffer(probe), asio::socket_base::message_peek, error);
    return !is_would_block(error);
}

std::size_t net_stream::write(std::span<const std::string_view> parts, asio::error_code& error)
{
    std::size_t written = 0;
    if (flushed()) {
        std::array<asio::const_buffer, max_gathered_parts> buffers;
        const auto count = std::min(parts.size(), max_gathered_parts);
        std::ranges::transform(parts.first(count), buffers.begin(), [](std::string_view part) {
            return asio::const_buffer(part.data(), part.size());
        });
        written = socket_.write_some(buffers, error);
        if (is_would_block(error)) {
            error.clear();
            written = 0;
        }
    }
    if (!error) {
        append_unsent(parts, written);
    }
    return written;
}

void net_stream::append_unsent(std::span<const std::string_view> parts, std::size_t written)
{
    for (auto part : parts) {
        const auto skip = std::min(written, part.size());
        written -= skip;
        unsent_.append(part.substr(skip));
    }
}

void net_stream::flush(asio::error_code& error)
{
    const std::string_view rest = std::string_view{unsent_}.substr(unsent_offset_);
    if (!rest.empty()) {
        unsent_offset_ += socket_.write_some(asio::buffer(rest.data(), rest.size()), error);
        if (is_would_block(error)) {
            error.clear();
        }
    }
    if (flushed()) {
        unsent_.clear();
        unsent_offset_ = 0;
    }
}

std::size_t net_stream::undelivered()
{
    send_queue_size queued;
    asio::error_code error;
    socket_.io_control(queued, error);
    return unsent() + static_cast<std::size_t>(error ? 0 : std::max(queued.value, 0));
}

void net_stream::release_memory()
{
    std::string{}.swap(unsent_);
    unsent_offset_ = 0;
}

void net_stream::shutdown_send()
{
    asio::error_code ignored;
    socket_.shutdown(asio::socket_base::shutdown_send, ignored);
}

void net_stream::close()
{
    asio::error_code ignored;
    socket_.close(ignored);
}

} // namespace sniperock

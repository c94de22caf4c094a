/** @file net_stream.cpp Reads and writes without waiting. */
#include "net_stream.hpp"

#include <asio/buffer.hpp>

#include <algorithm>
#include <array>

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace sniperock {
namespace {

/** Most parts that one write gathers. */
constexpr std::size_t max_parts = 8;
/** Keep-alive after so many idle seconds, so far apart, so many: broken after three seconds. */
constexpr int silence_idle_s = 1;
constexpr int silence_interval_s = 1;
constexpr int silence_probes = 2;
/** Sent bytes that are not acknowledged for so long break the connection. */
constexpr int silence_unacknowledged_ms = 2500;

bool must_wait(const asio::error_code& error)
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

void net_stream::detect_silence(asio::error_code& error)
{
    using asio::detail::socket_option::integer;
    socket_.set_option(asio::socket_base::keep_alive(true), error);
    socket_.set_option(integer<IPPROTO_TCP, TCP_KEEPIDLE>(silence_idle_s), error);
    socket_.set_option(integer<IPPROTO_TCP, TCP_KEEPINTVL>(silence_interval_s), error);
    socket_.set_option(integer<IPPROTO_TCP, TCP_KEEPCNT>(silence_probes), error);
    socket_.set_option(integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(silence_unacknowledged_ms), error);
}

std::size_t net_stream::read(std::span<char> buffer, asio::error_code& error)
{
    const auto size = socket_.read_some(asio::buffer(buffer.data(), buffer.size()), error);
    if (must_wait(error)) {
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
    return !must_wait(error);
}

std::size_t net_stream::write(std::span<const std::string_view> parts, asio::error_code& error)
{
    std::size_t taken = 0;
    if (flushed()) {
        std::array<asio::const_buffer, max_parts> buffers;
        const auto count = std::min(parts.size(), max_parts);
        std::ranges::transform(parts.first(count), buffers.begin(), [](std::string_view part) {
            return asio::const_buffer(part.data(), part.size());
        });
        taken = socket_.write_some(buffers, error);
        if (must_wait(error)) {
            error.clear();
            taken = 0;
        }
    }
    if (!error) {
        keep_unsent(parts, taken);
    }
    return taken;
}

void net_stream::keep_unsent(std::span<const std::string_view> parts, std::size_t taken)
{
    for (auto part : parts) {
        const auto skip = std::min(taken, part.size());
        taken -= skip;
        unsent_.append(part.substr(skip));
    }
}

void net_stream::flush(asio::error_code& error)
{
    const std::string_view rest = std::string_view{unsent_}.substr(unsent_at_);
    if (!rest.empty()) {
        unsent_at_ += socket_.write_some(asio::buffer(rest.data(), rest.size()), error);
        if (must_wait(error)) {
            error.clear();
        }
    }
    if (flushed()) {
        unsent_.clear();
        unsent_at_ = 0;
    }
}

void net_stream::release_memory()
{
    std::string{}.swap(unsent_);
    unsent_at_ = 0;
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

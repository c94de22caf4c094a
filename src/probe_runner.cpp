/** @file probe_runner.cpp One probe: connect, ask, read the head of the answer. */
#include "probe_runner.hpp"
#include "edge_router.hpp"
#include "edge_type.hpp"
#include "http_parser.hpp"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>

#include <array>
#include <memory>
#include <string_view>

namespace sniperock {
namespace {

constexpr std::size_t max_head_bytes = 8'192;
constexpr std::string_view request =
    "GET /.probe HTTP/1.1\r\nHost: probe\r\nConnection: close\r\n\r\n";

/** Closes the socket when the time is over, which ends whatever waits on it. */
struct timed_socket {
    timed_socket(const asio::any_io_executor& executor, milliseconds timeout)
        : socket(executor), timer(executor, timeout)
    {
    }
    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
};

asio::awaitable<std::optional<load_report>> ask_load(timed_socket& timed, probe_order order)
{
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(order.address), order.port);
    co_await timed.socket.async_connect(endpoint, asio::use_awaitable);
    co_await asio::async_write(timed.socket, asio::buffer(request), asio::use_awaitable);
    http_message_parser parser(http_side::response, max_head_bytes);
    std::array<char, 1'024> buffer{};
    while (!parser.head_complete()) {
        const auto size =
            co_await timed.socket.async_read_some(asio::buffer(buffer), asio::use_awaitable);
        parser.feed({buffer.data(), size});
    }
    const auto load = parser.head().headers.find(edge_header::load);
    co_return load ? parse_load(*load) : std::nullopt;
}

} // namespace

asio::awaitable<void> probe_runner::probe(probe_order order) const
{
    const auto timed = std::make_shared<timed_socket>(executor_, timeout_);
    timed->timer.async_wait([timed](const asio::error_code& error) {
        if (!error) {
            asio::error_code ignored;
            timed->socket.close(ignored);
        }
    });
    std::optional<load_report> report;
    try {
        report = co_await ask_load(*timed, order);
    }
    catch (const std::exception&) {
        // No answer: the handler gets no report.
    }
    timed->timer.cancel();
    done_(order.server, report);
}

void probe_runner::run(const probe_order& order)
{
    asio::co_spawn(executor_, probe(order), asio::detached);
}

} // namespace sniperock

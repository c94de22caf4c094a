/** @file standin_server.cpp Stand-in for one server, on Asio. */
#include "standin_server.hpp"
#include "edge_type.hpp"
#include "http_parser.hpp"
#include "http_write.hpp"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/redirect_error.hpp>
#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <random>

namespace sniperock {
namespace {

constexpr std::size_t read_bytes = 16'384;
constexpr std::size_t max_head_bytes = 65'536;

} // namespace

/** State shared by the acceptor and the connections. */
struct standin_server::impl : std::enable_shared_from_this<impl> {
    impl(asio::io_context& with, server_behaviour as)
        : io(with), acceptor(with), behaviour(std::move(as)), random(behaviour.seed)
    {
    }

    asio::awaitable<void> accept_loop()
    {
        const auto self = shared_from_this();
        while (acceptor.is_open()) {
            asio::error_code error;
            auto socket =
                co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
            if (error) {
                co_return;
            }
            socket.set_option(asio::ip::tcp::no_delay(true), error);
            asio::co_spawn(io, serve(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> serve(asio::ip::tcp::socket socket)
    {
        const auto self = shared_from_this();
        http_message_parser parser(http_side::request, max_head_bytes);
        std::string buffer(read_bytes, '\0');
        std::size_t used = 0;
        std::size_t size = 0;
        try {
            while (acceptor.is_open()) {
                parser.reset();
                while (!parser.message_complete()) {
                    if (used == size) {
                        size = co_await socket.async_read_some(asio::buffer(buffer),
                                                               asio::use_awaitable);
                        used = 0;
                    }
                    used += parser.feed(std::string_view{buffer}.substr(used, size - used));
                }
                co_await answer(socket, parser.head());
            }
        }
        catch (const std::exception&) {
            // The peer closed the connection or sent no HTTP.
        }
    }

    std::string load_text()
    {
        return "phase=" + std::string{to_name(phase)} +
               ";in_flight=" + std::to_string(record.in_flight) +
               ";slots=" + std::to_string(behaviour.slots);
    }

    void begin(const http_head& head)
    {
        const std::lock_guard lock(mutex);
        ++record.calls;
        ++record.in_flight;
        record.most_in_flight = std::max(record.most_in_flight, record.in_flight);
        if (const auto id = head.headers.find(edge_header::call_id)) {
            ++record.runs[std::string{*id}];
        }
    }

    microseconds draw_service_time()
    {
        const std::lock_guard lock(mutex);
        if (behaviour.service_time.count() == 0) {
            return microseconds{0};
        }
        std::exponential_distribution<double> draw(
            1.0 / static_cast<double>(behaviour.service_time.count()));
        return microseconds{static_cast<std::int64_t>(draw(random))};
    }

    asio::awaitable<void> answer(asio::ip::tcp::socket& socket, const http_head& head)
    {
        begin(head);
        const auto time = draw_service_time();
        if (time.count() > 0) {
            asio::steady_timer timer(io, time);
            co_await timer.async_wait(asio::use_awaitable);
        }
        std::string out;
        {
            const std::lock_guard lock(mutex);
            --record.in_flight;
            append_status_line(out, 200);
            append_header(out, edge_header::load, load_text());
        }
        append_header(out, "X-Server", behaviour.name);
        if (const auto id = head.headers.find("X-Request-Id")) {
            append_header(out, "X-Request-Id", *id);
        }
        append_header(out, "Content-Length", std::to_string(behaviour.answer_bytes));
        out += "\r\n";
        if (head.method != "HEAD") {
            out.append(behaviour.answer_bytes, 'x');
        }
        co_await asio::async_write(socket, asio::buffer(out), asio::use_awaitable);
    }

    asio::io_context& io;
    asio::ip::tcp::acceptor acceptor;
    server_behaviour behaviour;
    mutable std::mutex mutex;
    random_engine random;
    server_phase phase = server_phase::warm;
    server_record record;
};

standin_server::standin_server(asio::io_context& io, server_behaviour behaviour)
    : impl_(std::make_shared<impl>(io, std::move(behaviour)))
{
}

standin_server::~standin_server() = default;

std::uint16_t standin_server::start(const std::string& address, std::uint16_t port)
{
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address), port);
    impl_->acceptor.open(endpoint.protocol());
    impl_->acceptor.set_option(asio::socket_base::reuse_address(true));
    impl_->acceptor.bind(endpoint);
    impl_->acceptor.listen();
    asio::co_spawn(impl_->io, impl_->accept_loop(), asio::detached);
    return impl_->acceptor.local_endpoint().port();
}

void standin_server::stop()
{
    asio::post(impl_->io, [impl = impl_] {
        asio::error_code ignored;
        impl->acceptor.close(ignored);
    });
}

void standin_server::set_phase(server_phase phase)
{
    const std::lock_guard lock(impl_->mutex);
    impl_->phase = phase;
}

server_record standin_server::record() const
{
    const std::lock_guard lock(impl_->mutex);
    return impl_->record;
}

} // namespace sniperock

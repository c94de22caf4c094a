/** @file standin_server.cpp Stand-in for one server, on Asio. */
#include "standin_server.hpp"
#include "error_type.hpp"
#include "standin_session.hpp"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/post.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>

namespace sniperock {
namespace {

constexpr std::size_t own_ledger_limit = 200'000;

} // namespace

/** The listening socket and what the connections share. */
struct standin_server::impl : std::enable_shared_from_this<impl> {
    impl(asio::io_context& io, server_behaviour behaviour, std::shared_ptr<run_ledger> ledger)
        : host(io, std::move(behaviour), std::move(ledger)), acceptor(io)
    {
    }

    asio::awaitable<void> accept_loop()
    {
        const auto self = shared_from_this();
        while (acceptor.is_open()) {
            asio::error_code error;
            auto socket =
                co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
            if (error == asio::error::operation_aborted || !acceptor.is_open()) {
                co_return;
            }
            if (error) {
                continue;
            }
            socket.set_option(asio::ip::tcp::no_delay(true), error);
            adopt(std::move(socket));
        }
    }

    void adopt(asio::ip::tcp::socket socket)
    {
        {
            const std::lock_guard lock(host.mutex);
            ++host.model.counts().connections;
        }
        auto session = std::make_shared<standin_session>(std::move(socket), host);
        host.sessions.insert(session);
        asio::co_spawn(host.io, session->run(),
                       [self = shared_from_this(), session](const std::exception_ptr&) {
                           self->host.sessions.erase(session);
                       });
    }

    standin_host host;
    asio::ip::tcp::acceptor acceptor;
};

standin_server::standin_server(asio::io_context& io, server_behaviour behaviour,
                               std::shared_ptr<run_ledger> ledger)
    : impl_(std::make_shared<impl>(io, std::move(behaviour),
                                   ledger ? std::move(ledger)
                                          : std::make_shared<run_ledger>(own_ledger_limit)))
{
}

standin_server::~standin_server() = default;

std::uint16_t standin_server::start(const std::string& address, std::uint16_t port)
{
    try {
        const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address), port);
        impl_->acceptor.open(endpoint.protocol());
        impl_->acceptor.set_option(asio::socket_base::reuse_address(true));
        impl_->acceptor.bind(endpoint);
        impl_->acceptor.listen();
    }
    catch (const std::system_error& fault) {
        throw listen_failed(address + ":" + std::to_string(port), fault.what());
    }
    asio::co_spawn(impl_->host.io, impl_->accept_loop(), asio::detached);
    return impl_->acceptor.local_endpoint().port();
}

void standin_server::stop()
{
    asio::post(impl_->host.io, [impl = impl_] {
        asio::error_code ignored;
        impl->acceptor.close(ignored);
        impl->host.close_all(nullptr);
    });
}

void standin_server::set_phase(server_phase phase)
{
    server_command order;
    order.phase = phase;
    command(order);
}

void standin_server::command(const server_command& order)
{
    asio::post(impl_->host.io, [impl = impl_, order] {
        impl->host.command(order);
        if (order.restart) {
            impl->host.close_all(nullptr);
        }
    });
}

server_record standin_server::record() const
{
    const std::lock_guard lock(impl_->host.mutex);
    return impl_->host.model.record(boot_clock::now());
}

} // namespace sniperock

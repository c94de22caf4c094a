/** @file edge_server.cpp Accepts callers and spreads their connections over threads. */
#include "edge_server.hpp"
#include "edge_session.hpp"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/io_context.hpp>
#include <asio/redirect_error.hpp>
#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>

#include <set>
#include <thread>
#include <vector>

namespace sniperock {
namespace {

constexpr milliseconds sweep_period{20};
constexpr seconds upstream_idle{30};

/** One io thread with its own connections. */
class edge_worker {
public:
    edge_worker(const edge_limits& limits, dispatcher& slots, router_holder& routers,
                locate_service& locator, edge_counters& counters)
        : sweep_timer_(io_),
          context_{limits, slots, routers, locator, counters, upstream_pool(io_.get_executor())}
    {
    }

    asio::io_context& io() { return io_; }

    void start()
    {
        asio::co_spawn(io_, sweep(), asio::detached);
        thread_ = std::thread([this] { io_.run(); });
    }

    void stop()
    {
        asio::post(io_, [this] {
            stopping_ = true;
            sweep_timer_.cancel();
            for (const auto& session : sessions_) {
                session->close();
            }
        });
        io_.stop();
        if (thread_.joinable()) {
            thread_.join();
        }
    }

    /** Takes a connection over; called from any thread. */
    void adopt(asio::ip::tcp::socket socket)
    {
        asio::post(io_, [this, socket = std::move(socket)]() mutable {
            auto session = std::make_shared<edge_session>(std::move(socket), context_);
            sessions_.insert(session);
            asio::co_spawn(io_, session->run(), [this, session](const std::exception_ptr&) {
                sessions_.erase(session);
                context_.counters.connections.fetch_sub(1, std::memory_order_relaxed);
            });
        });
    }

private:
    /** Closes late connections and refuses late calls, again and again. */
    asio::awaitable<void> sweep()
    {
        while (!stopping_) {
            sweep_timer_.expires_after(sweep_period);
            asio::error_code error;
            co_await sweep_timer_.async_wait(asio::redirect_error(asio::use_awaitable, error));
            const auto now = boot_clock::now();
            for (const auto& session : sessions_) {
                session->close_if_late(now);
            }
            context_.slots.expire(now);
            context_.pool.close_idle(now - upstream_idle);
        }
    }

    asio::io_context io_{1};
    asio::steady_timer sweep_timer_;
    edge_context context_;
    std::set<std::shared_ptr<edge_session>> sessions_;
    std::thread thread_;
    bool stopping_ = false;
};

} // namespace

/** The listening socket and the workers. */
struct edge_server::impl {
    impl(edge_limits with, dispatcher& slots, router_holder& routers, locate_service& locator,
         edge_counters& with_counters)
        : limits(std::move(with)), counters(with_counters)
    {
        for (std::size_t at = 0; at < limits.threads; ++at) {
            workers.push_back(
                std::make_unique<edge_worker>(limits, slots, routers, locator, with_counters));
        }
        acceptor = std::make_unique<asio::ip::tcp::acceptor>(workers.front()->io());
    }

    asio::awaitable<void> accept_loop()
    {
        std::size_t next = 0;
        while (acceptor->is_open()) {
            auto& worker = *workers.at(next++ % workers.size());
            asio::error_code error;
            auto socket = co_await acceptor->async_accept(
                worker.io(), asio::redirect_error(asio::use_awaitable, error));
            if (error == asio::error::operation_aborted) {
                co_return;
            }
            if (error) {
                continue;
            }
            if (counters.connections.load() >= limits.max_connections) {
                asio::error_code ignored;
                socket.close(ignored);
                continue;
            }
            counters.connections.fetch_add(1, std::memory_order_relaxed);
            asio::error_code ignored;
            socket.set_option(asio::ip::tcp::no_delay(true), ignored);
            worker.adopt(std::move(socket));
        }
    }

    edge_limits limits;
    edge_counters& counters;
    std::vector<std::unique_ptr<edge_worker>> workers;
    std::unique_ptr<asio::ip::tcp::acceptor> acceptor;
    bool running = false;
};

edge_server::edge_server(edge_limits limits, dispatcher& slots, router_holder& routers,
                         locate_service& locator, edge_counters& counters)
    : impl_(std::make_unique<impl>(std::move(limits), slots, routers, locator, counters))
{
}

edge_server::~edge_server()
{
    stop();
}

void edge_server::start()
{
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(impl_->limits.address),
                                           impl_->limits.port);
    impl_->acceptor->open(endpoint.protocol());
    impl_->acceptor->set_option(asio::socket_base::reuse_address(true));
    impl_->acceptor->bind(endpoint);
    impl_->acceptor->listen();
    asio::co_spawn(impl_->workers.front()->io(), impl_->accept_loop(), asio::detached);
    for (auto& worker : impl_->workers) {
        worker->start();
    }
    impl_->running = true;
}

void edge_server::stop()
{
    if (!impl_->running) {
        return;
    }
    impl_->running = false;
    for (auto& worker : impl_->workers) {
        worker->stop();
    }
    asio::error_code ignored;
    impl_->acceptor->close(ignored);
}

std::uint16_t edge_server::port() const
{
    return impl_->acceptor->local_endpoint().port();
}

} // namespace sniperock

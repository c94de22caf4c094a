/** @file edge_server.cpp Accepts callers and spreads their connections over threads. */
#include "edge_server.hpp"
#include "edge_session.hpp"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <pthread.h>

#include <algorithm>
#include <future>
#include <thread>
#include <vector>

namespace sniperock {
namespace {

constexpr milliseconds sweep_period{100};
constexpr milliseconds expire_period{20};
constexpr milliseconds accept_pause{20};
constexpr milliseconds drain_step{5};

/** One io thread with its own connections. */
class edge_worker {
public:
    explicit edge_worker(const edge_parts& parts) : timer_(io_), context_(io_, parts) {}

    asio::io_context& io() { return io_; }

    void start()
    {
        thread_ = std::thread([this] {
            ::pthread_setname_np(::pthread_self(), "edge");
            context_.thread = std::this_thread::get_id();
            next_sweep_ = boot_clock::now() + sweep_period;
            tick();
            io_.run();
        });
    }

    /** Closes everything on the worker's own thread and ends it. */
    void stop()
    {
        if (!thread_.joinable()) {
            return;
        }
        asio::post(io_, [this] {
            for (const auto& session : sessions_) {
                session->close();
            }
            sessions_.clear();
            context_.abandoned.clear();
            context_.pool.clear();
            context_.timers.stop();
            io_.stop();
        });
        thread_.join();
    }

    /** Answers no more than one call on each connection from now on. */
    void begin_drain()
    {
        asio::post(io_, [this] { context_.draining = true; });
    }

    /** Closes connections without a call. */
    void close_idle()
    {
        asio::post(io_, [this] {
            std::ranges::for_each(sessions_, [](const auto& session) { session->close_if_idle(); });
        });
    }

    /** Takes a connection over; called from any thread. */
    void adopt(int handle, asio::ip::tcp protocol, bool refused)
    {
        asio::post(io_, [this, handle, protocol, refused] {
            edge_stream stream(tcp_socket(io_.get_executor(), protocol, handle));
            asio::error_code error;
            stream.prepare(error);
            const auto session = std::make_shared<edge_session>(std::move(stream), context_);
            sessions_.push_back(session);
            if (error) {
                session->close();
            }
            else if (refused) {
                session->refuse_connection();
            }
            session->start();
        });
    }

private:
    /** Closes late connections and refuses late calls, again and again. */
    void tick()
    {
        const auto now = boot_clock::now();
        context_.parts.slots.expire(now);
        if (now >= next_sweep_) {
            next_sweep_ = now + sweep_period;
            sweep(now);
        }
        timer_.expires_after(expire_period);
        timer_.async_wait([this](const asio::error_code& error) {
            if (!error) {
                tick();
            }
        });
    }

    void sweep(local_time now)
    {
        const auto all = sessions_;
        std::ranges::for_each(all, [now](const auto& session) { session->close_if_late(now); });
        std::erase_if(sessions_, [](const auto& session) { return session->closed(); });
        context_.pool.close_idle(now - context_.parts.limits.upstream_idle);
    }

    asio::io_context io_{1};
    asio::steady_timer timer_;
    edge_context context_;
    std::vector<std::shared_ptr<edge_session>> sessions_;
    local_time next_sweep_;
    std::thread thread_;
};

} // namespace

/** The listening socket and the workers. */
struct edge_server::impl {
    impl(edge_limits with, dispatcher& slots, router_holder& routers, locate_service& locator,
         edge_counters& with_counters, metrics& with_measured)
        : limits(std::move(with)), counters(with_counters), measured(with_measured)
    {
        const edge_parts parts{limits, slots, routers, locator, counters, measured};
        for (std::size_t at = 0; at < limits.threads; ++at) {
            workers.push_back(std::make_unique<edge_worker>(parts));
        }
        acceptor = std::make_unique<asio::ip::tcp::acceptor>(workers.front()->io());
        pause = std::make_unique<asio::steady_timer>(workers.front()->io());
    }

    void accept_next()
    {
        acceptor->async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
            if (error == asio::error::operation_aborted || !acceptor->is_open()) {
                return;
            }
            if (error) {
                wait_and_accept();
                return;
            }
            hand_out(std::move(socket));
            accept_next();
        });
    }

    /** Out of descriptors or the like: tries again a little later. */
    void wait_and_accept()
    {
        pause->expires_after(accept_pause);
        pause->async_wait([this](const asio::error_code& error) {
            if (!error) {
                accept_next();
            }
        });
    }

    void hand_out(asio::ip::tcp::socket socket)
    {
        /** Connections over the limit that are told so; more are closed at once. */
        constexpr std::size_t told = 256;
        const auto open = counters.connections.load();
        if (open >= limits.max_connections + told) {
            return;
        }
        counters.connections.fetch_add(1, std::memory_order_relaxed);
        asio::error_code ignored;
        const bool refused = open >= limits.max_connections;
        const int handle = socket.release(ignored);
        workers.at(next++ % workers.size())->adopt(handle, protocol, refused);
    }

    /** Closes the listening socket on the thread that accepts. */
    void stop_accepting()
    {
        std::promise<void> closed;
        asio::post(workers.front()->io(), [&] {
            asio::error_code ignored;
            acceptor->close(ignored);
            closed.set_value();
        });
        closed.get_future().wait();
    }

    edge_limits limits;
    edge_counters& counters;
    edge_metrics measured;
    std::vector<std::unique_ptr<edge_worker>> workers;
    std::unique_ptr<asio::ip::tcp::acceptor> acceptor;
    std::unique_ptr<asio::steady_timer> pause;
    asio::ip::tcp protocol = asio::ip::tcp::v4();
    std::size_t next = 0;
    std::uint16_t port = 0;
    bool running = false;
    bool accepting = false;
};

edge_server::edge_server(edge_limits limits, dispatcher& slots, router_holder& routers,
                         locate_service& locator, edge_counters& counters, metrics& measured)
    : impl_(std::make_unique<impl>(std::move(limits), slots, routers, locator, counters, measured))
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
    impl_->protocol = endpoint.protocol();
    impl_->acceptor->open(endpoint.protocol());
    impl_->acceptor->set_option(asio::socket_base::reuse_address(true));
    impl_->acceptor->bind(endpoint);
    impl_->acceptor->listen();
    impl_->port = impl_->acceptor->local_endpoint().port();
    impl_->accept_next();
    for (auto& worker : impl_->workers) {
        worker->start();
    }
    impl_->running = true;
    impl_->accepting = true;
}

std::size_t edge_server::drain(milliseconds bound)
{
    if (!impl_->running) {
        return 0;
    }
    const auto begin = boot_clock::now();
    const auto grace_end = begin + std::min(bound, impl_->limits.drain_grace);
    if (std::exchange(impl_->accepting, false)) {
        impl_->stop_accepting();
    }
    std::ranges::for_each(impl_->workers, [](auto& worker) { worker->begin_drain(); });
    const auto& counters = impl_->counters;
    while (boot_clock::now() < begin + bound) {
        const bool grace_over = boot_clock::now() >= grace_end;
        if (grace_over) {
            std::ranges::for_each(impl_->workers, [](auto& worker) { worker->close_idle(); });
        }
        const bool all_closed = counters.connections.load() == 0;
        if (all_closed || (grace_over && counters.running.load() == 0)) {
            return 0;
        }
        std::this_thread::sleep_for(drain_step);
    }
    return counters.running.load();
}

void edge_server::stop()
{
    if (!impl_->running) {
        return;
    }
    impl_->running = false;
    if (std::exchange(impl_->accepting, false)) {
        impl_->stop_accepting();
    }
    for (auto& worker : impl_->workers) {
        worker->stop();
    }
}

std::uint16_t edge_server::port() const
{
    return impl_->port;
}

} // namespace sniperock

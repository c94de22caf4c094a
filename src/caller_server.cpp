/** @file caller_server.cpp Accepts connections on one port and starts a session for each. */
#include "caller_server.hpp"

#include "error_type.hpp"
#include "event_type.hpp"

#include <algorithm>

namespace sniperock {
namespace {

/** Delay before the next accept after a failed one, as when file descriptors run out. */
constexpr milliseconds accept_retry_delay{50};

} // namespace

caller_server::caller_server(asio::io_context& io, session_context shared,
                             std::size_t max_connections)
    : io_(io), shared_(std::make_shared<session_context>(std::move(shared))),
      max_connections_(max_connections), acceptor_(io), accept_retry_timer_(io)
{
}

void caller_server::listen(const asio::ip::tcp::endpoint& endpoint)
{
    try {
        acceptor_.open(endpoint.protocol());
        acceptor_.set_option(asio::socket_base::reuse_address(true));
        acceptor_.bind(endpoint);
        acceptor_.listen();
        port_ = acceptor_.local_endpoint().port();
    }
    catch (const std::system_error& error) {
        asio::error_code ignored;
        acceptor_.close(ignored);
        throw listen_failed(endpoint.address().to_string() + ":" + std::to_string(endpoint.port()),
                            error.code());
    }
    accept_next();
}

void caller_server::accept_next()
{
    acceptor_.async_accept(
        io_.get_executor(), [this](const asio::error_code& error, tcp_socket socket) {
            if (error == asio::error::operation_aborted || !acceptor_.is_open()) {
                return;
            }
            if (!error) {
                start_session(std::move(socket));
                accept_next();
                return;
            }
            log_event(event::accept_failed,
                      {{"port", std::to_string(port_)}, {"reason", error.message()}});
            accept_retry_timer_.expires_after(accept_retry_delay);
            accept_retry_timer_.async_wait([this](const asio::error_code& timer_error) {
                if (!timer_error) {
                    accept_next();
                }
            });
        });
}

void caller_server::start_session(tcp_socket socket)
{
    if (sessions_.size() >= max_connections_) {
        log_event(event::connection_refused, {{"port", std::to_string(port_)},
                                              {"connections", std::to_string(sessions_.size())}});
        return;
    }
    net_stream stream(std::move(socket));
    asio::error_code error;
    stream.set_socket_options(error);
    if (error) {
        return;
    }
    sessions_.push_back(std::make_shared<caller_session>(std::move(stream), shared_));
    sessions_.back()->start();
}

void caller_server::stop_accepting()
{
    if (!acceptor_.is_open()) {
        return;
    }
    asio::error_code error;
    acceptor_.non_blocking(true, error);
    while (!error) {
        tcp_socket socket(io_.get_executor());
        acceptor_.accept(socket, error);
        if (!error) {
            start_session(std::move(socket));
        }
    }
    // Ends with would_block once no connection waits.
    asio::error_code ignored;
    acceptor_.close(ignored);
}

void caller_server::close_idle(local_time now)
{
    std::ranges::for_each(sessions_, [now](const auto& session) { session->close_if_idle(now); });
}

void caller_server::end_requests()
{
    // The handlers neither add sessions to the vector nor remove any.
    std::ranges::for_each(sessions_, [](const auto& session) { session->end_requests(); });
}

void caller_server::close_all()
{
    const auto all = std::exchange(sessions_, {});
    std::ranges::for_each(all, [](const auto& session) {
        session->close();
        session->abandon_requests();
    });
}

void caller_server::close_expired(local_time now)
{
    // close_if_expired() neither adds sessions to the vector nor removes any.
    std::ranges::for_each(sessions_,
                          [now](const auto& session) { session->close_if_expired(now); });
    std::erase_if(sessions_, [](const auto& session) { return session->closed(); });
}

std::size_t caller_server::busy(local_time now) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(sessions_, [now](const auto& item) { return item->busy(now); }));
}

} // namespace sniperock

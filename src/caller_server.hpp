/** @file caller_server.hpp Accepts connections on one port and starts a session for each. */
#pragma once

#include "caller_session.hpp"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace sniperock {

/** A listening port and its sessions; used only by the io thread. */
class caller_server {
public:
    /** @param max_connections connections beyond this number are closed on accept. */
    caller_server(asio::io_context& io, session_context shared, std::size_t max_connections);

    /** Binds to @p endpoint and starts to accept connections. @throws listen_failed */
    void listen(const asio::ip::tcp::endpoint& endpoint);
    /** The bound port; remains available after stop_accepting(). */
    [[nodiscard]] std::uint16_t port() const { return port_; }
    /** State shared by all sessions; may be changed at any time. */
    [[nodiscard]] session_context& shared() { return *shared_; }
    /** Closes the listening socket, after accepting the connections that wait on it; open
     * connections stay. */
    void stop_accepting();
    /** Closes connections on which nothing is in progress. */
    void close_idle(local_time now);
    /** Lets the handlers of all requests in progress respond at once, as the process exits. */
    void end_requests();
    void close_all();
    /** Closes connections past their deadline and removes closed sessions. */
    void close_expired(local_time now);
    [[nodiscard]] std::size_t connections() const { return sessions_.size(); }
    /** Number of connections on which something is in progress. */
    [[nodiscard]] std::size_t busy(local_time now) const;

private:
    void accept_next();
    void start_session(tcp_socket socket);

    asio::io_context& io_;
    std::shared_ptr<session_context> shared_;
    std::size_t max_connections_;
    std::uint16_t port_ = 0;
    asio::ip::tcp::acceptor acceptor_;
    asio::steady_timer accept_retry_timer_;
    std::vector<std::shared_ptr<caller_session>> sessions_;
};

} // namespace sniperock

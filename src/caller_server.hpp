/** @file caller_server.hpp Listens on one port and runs a session for each connection. */
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

/** One listening port; used by the io thread alone. */
class caller_server {
public:
    /** @param max_connections more are closed at once. */
    caller_server(asio::io_context& io, session_context shared, std::size_t max_connections);

    /** Listens. @throws listen_failed */
    void listen(const asio::ip::tcp::endpoint& endpoint);
    /** Known as long as this object lives, also after stop_accepting(). */
    [[nodiscard]] std::uint16_t port() const { return port_; }
    /** What all sessions share; may be changed at any time. */
    [[nodiscard]] session_context& shared() { return *shared_; }
    /** Takes no more connections. */
    void stop_accepting();
    /** Closes connections on which no request was begun. */
    void close_idle();
    /** Closes every connection. */
    void close_all();
    /** Closes late connections and forgets closed ones. */
    void close_expired(local_time now);
    [[nodiscard]] std::size_t connections() const { return sessions_.size(); }
    /** Connections with a request that waits for its answer. */
    [[nodiscard]] std::size_t busy() const;

private:
    void accept_next();
    void adopt(tcp_socket socket);

    asio::io_context& io_;
    std::shared_ptr<session_context> shared_;
    std::size_t max_connections_;
    std::uint16_t port_ = 0;
    asio::ip::tcp::acceptor acceptor_;
    asio::steady_timer pause_;
    std::vector<std::shared_ptr<caller_session>> sessions_;
};

} // namespace sniperock

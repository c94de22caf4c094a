/** @file upstream_pool.hpp Connections from one io thread to servers. */
#pragma once

#include "clock_type.hpp"
#include "config_type.hpp"
#include "dispatch_type.hpp"
#include "edge_stream.hpp"
#include "http_parser.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace sniperock {

/** One connection to a server; watched for input all its life. */
class upstream_connection : public std::enable_shared_from_this<upstream_connection> {
public:
    using input_handler = std::function<void()>;

    explicit upstream_connection(const asio::io_context::executor_type& executor);

    edge_stream stream;
    http_message_parser parser;
    /** When the last whole answer came over it; the least time if none did. */
    local_time last_answer = local_time::min();

    /** Calls @p handler each time when input waits after watch(). */
    void set_input_handler(input_handler handler) { on_input_ = std::move(handler); }
    /** Asks for the next input; does nothing if it was asked for already. */
    void watch();

private:
    input_handler on_input_;
    bool watching_ = false;
};

/** Idle connections of one io thread; used by that thread only. */
class upstream_pool {
public:
    explicit upstream_pool(asio::io_context& io) : io_(io) {}

    /**
     * Takes an idle connection.
     * @param slot names the server.
     * @param proven_since the connection must have answered at or after this time.
     * @return null if there is none.
     */
    std::shared_ptr<upstream_connection> take_idle(const grant& slot, local_time proven_since);
    /** A new connection, not yet open. */
    std::shared_ptr<upstream_connection> make_connection();
    /** Where the server of @p slot listens. @throws std::system_error if its address is no IP. */
    const asio::ip::tcp::endpoint& endpoint_of(const grant& slot);
    /** Keeps a connection whose last answer was whole. */
    void put_back(const server_key& server, std::shared_ptr<upstream_connection> connection,
                  local_time now);
    /** Never again uses connections to @p server that have not answered since @p time. */
    void distrust_before(const server_key& server, local_time time);
    /** Closes connections that have been idle since before @p limit. */
    void close_idle(local_time limit);
    /** Closes all. */
    void clear();
    /** Idle connections to @p server. */
    [[nodiscard]] std::size_t idle_count(const server_key& server) const;

private:
    struct key_hash {
        std::size_t operator()(const server_key& key) const noexcept;
    };
    struct server_connections {
        std::string address;
        std::uint16_t port = 0;
        asio::ip::tcp::endpoint endpoint;
        local_time distrusted_before = local_time::min();
        std::vector<std::shared_ptr<upstream_connection>> idle;
    };

    void drop(server_connections& of, const upstream_connection* connection);

    asio::io_context& io_;
    std::unordered_map<server_key, server_connections, key_hash> servers_;
};

} // namespace sniperock

/** @file edge_session.hpp One caller's connection, from accept to close. */
#pragma once

#include "edge_server.hpp"
#include "http_parser.hpp"
#include "upstream_pool.hpp"

#include <asio/awaitable.hpp>
#include <asio/ip/tcp.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace sniperock {

/** What the sessions of one io thread share. */
struct edge_context {
    const edge_limits& limits;
    dispatcher& slots;
    router_holder& routers;
    locate_service& locator;
    edge_counters& counters;
    upstream_pool pool;
};

/** Reads calls from one connection, one after another, and passes each to a server. */
class edge_session : public std::enable_shared_from_this<edge_session> {
public:
    edge_session(asio::ip::tcp::socket socket, edge_context& context);

    /** Serves the connection until it closes. */
    asio::awaitable<void> run();
    /** Closes the connection from the thread that runs it. */
    void close();
    /** Closes the connection if it has passed its time limit. */
    void close_if_late(local_time now);

private:
    /** One call on its way. */
    struct call_state {
        call_spec spec;
        grant_result slot;
        std::unique_ptr<upstream_connection> upstream;
        /** Bytes of the request may have reached the server. */
        bool sent = false;
        /** The head of the answer went to the caller. */
        bool answering = false;
        local_time started;
    };

    asio::awaitable<bool> read_head();
    asio::awaitable<void> handle_request();
    asio::awaitable<void> handle_locate(const edge_router& router);
    asio::awaitable<void> handle_call(const edge_router& router);
    asio::awaitable<grant_result> wait_for_slot(const call_spec& spec);
    asio::awaitable<call_report> forward(call_state& call, const grant& slot);
    asio::awaitable<void> open_upstream(call_state& call, const grant& slot);
    asio::awaitable<void> send_request(call_state& call, const grant& slot);
    asio::awaitable<void> read_response_head(upstream_connection& upstream);
    asio::awaitable<void> send_response(call_state& call);
    asio::awaitable<void> refuse(int status, std::string_view reason, call_outcome outcome,
                                 milliseconds retry_after = milliseconds{0});
    asio::awaitable<void> write_answer(int status, const http_headers& headers,
                                       std::string_view body);
    void count(call_outcome outcome);

    asio::ip::tcp::socket socket_;
    edge_context& context_;
    http_message_parser parser_;
    std::string buffer_;
    std::size_t buffered_ = 0;
    std::size_t parsed_ = 0;
    local_time time_limit_;
    bool keep_open_ = true;
};

} // namespace sniperock

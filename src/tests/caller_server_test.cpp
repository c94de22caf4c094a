/** @file caller_server_test.cpp Tests of the listening port: bound port and connection limit. */
#include "caller_server.hpp"

#include <catch2/catch.hpp>

#include <asio/buffer.hpp>

#include <array>

using namespace sniperock;

TEST_CASE("port() returns the port after the server stopped accepting connections")
{
    // A leaving VM serves directory requests until it ends, and its responses contain its port. The
    // port therefore has to stay known after the acceptor is closed.
    asio::io_context io;
    caller_server server(io, {}, 10);
    server.listen({asio::ip::make_address("127.0.0.1"), 0});
    const auto port = server.port();
    CHECK(port != 0);
    server.stop_accepting();
    CHECK(server.port() == port);
}

TEST_CASE("connections beyond the limit are closed at once, earlier ones stay open")
{
    asio::io_context io;
    caller_server server(io, {}, 1);
    server.listen({asio::ip::make_address("127.0.0.1"), 0});
    asio::ip::tcp::socket first(io);
    asio::ip::tcp::socket second(io);
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address("127.0.0.1"), server.port());
    first.connect(endpoint);
    while (server.connections() == 0) {
        io.run_one();
    }
    second.connect(endpoint);
    bool closed = false;
    second.async_wait(asio::ip::tcp::socket::wait_read,
                      [&](const asio::error_code&) { closed = true; });
    while (!closed) {
        io.run_one();
    }
    std::array<char, 16> buffer{};
    asio::error_code error;
    second.read_some(asio::buffer(buffer), error);
    CHECK(error == asio::error::eof);
    CHECK(server.connections() == 1);
    first.non_blocking(true);
    first.read_some(asio::buffer(buffer), error);
    CHECK(error == asio::error::would_block);
    server.close_all();
}

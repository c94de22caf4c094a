/** @file caller_server_test.cpp Listening ports. */
#include "caller_server.hpp"

#include <catch2/catch.hpp>

#include <asio/buffer.hpp>

#include <array>

using namespace sniperock;

TEST_CASE("a port that takes no more connections is still known by its number")
{
    // A leaving VM is asked for the directory until it ends, and its answer names its port.
    asio::io_context io;
    caller_server server(io, {}, 10);
    server.listen({asio::ip::make_address("127.0.0.1"), 0});
    const auto port = server.port();
    CHECK(port != 0);
    server.stop_accepting();
    CHECK(server.port() == port);
}

TEST_CASE("connections beyond the limit are closed at once, the others stay")
{
    asio::io_context io;
    caller_server server(io, {}, 1);
    server.listen({asio::ip::make_address("127.0.0.1"), 0});
    asio::ip::tcp::socket first(io);
    asio::ip::tcp::socket second(io);
    const asio::ip::tcp::endpoint there(asio::ip::make_address("127.0.0.1"), server.port());
    first.connect(there);
    while (server.connections() == 0) {
        io.run_one();
    }
    second.connect(there);
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

/** @file caller_server_test.cpp Listening ports. */
#include "caller_server.hpp"

#include <catch2/catch.hpp>

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

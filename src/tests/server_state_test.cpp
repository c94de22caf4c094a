/** @file server_state_test.cpp What the end of a call does to its server's limit. */
#include "server_state.hpp"

#include <catch2/catch.hpp>

using namespace sniperock;

namespace {

/** A warm server of 3 slots that bears 1 call while cold. */
server_state warm_server()
{
    const manual_clock clock;
    server_state server({"s0", "127.0.0.1", 1, "north", 3, 1}, clock.now());
    server.limit.restore(3);
    return server;
}

std::uint32_t limit_after(call_result result)
{
    const manual_clock clock;
    auto server = warm_server();
    take_report(server, {result, milliseconds{1}, std::nullopt}, nanoseconds{0}, clock.now());
    return server.limit.current();
}

} // namespace

TEST_CASE("a call that broke off, was shed or could not be sent leaves its server the cold limit")
{
    CHECK(limit_after(call_result::failed) == 1);
    CHECK(limit_after(call_result::shed) == 1);
    CHECK(limit_after(call_result::not_sent) == 1);
}

TEST_CASE("a call that was answered or given up leaves the limit as it is")
{
    CHECK(limit_after(call_result::answered) == 3);
    CHECK(limit_after(call_result::cancelled) == 3);
}

/** @file edge_outcome_test.cpp What callers are told when servers fail before, in and after a call.
 */
#include "edge_fixture.hpp"

#include <catch2/catch.hpp>

#include <set>

using namespace sniperock;

namespace {

/** A port that nobody listens on. */
std::uint16_t dead_port()
{
    asio::io_context io;
    tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    return acceptor.local_endpoint().port();
}

/** Servers that answer, but for those calls, counted over all of them, that make them die. */
class mortal_servers {
public:
    explicit mortal_servers(std::set<int> deadly) : deadly_(std::move(deadly)) {}

    scripted_server::script script()
    {
        return [this](test_connection& peer) {
            while (!peer.read_head().empty() && !deadly_.contains(calls_++)) {
                peer.send(answer_of("hello"));
            }
        };
    }

private:
    std::set<int> deadly_;
    std::atomic<int> calls_{0};
};

} // namespace

TEST_CASE("an answer is passed on whole, with its outcome, and the slot is given back")
{
    scripted_server server(always("hello"));
    edge_rig rig({server.port()});
    const auto answer = rig.ask("GET");
    CHECK(answer.starts_with("HTTP/1.1 200 OK\r\n"));
    CHECK(header_of(answer, "X-Outcome") == "answered");
    CHECK(answer.ends_with("\r\n\r\nhello"));
    CHECK(eventually([&] { return rig.in_flight() == 0; }));
}

TEST_CASE("a server that cannot be reached is passed over for every class, and nothing ran")
{
    scripted_server server(always("hello"));
    edge_rig rig({dead_port(), server.port()});
    for (const auto* method : {"GET", "PUT", "POST"}) {
        const auto answer = rig.ask(method, "Content-Length: 2\r\n", "ab");
        CHECK(header_of(answer, "X-Outcome") == "answered");
    }
    CHECK(eventually([&] { return rig.in_flight() == 0; }));
}

TEST_CASE("when no server can be reached the caller is told that nothing ran")
{
    edge_rig rig({dead_port()});
    const auto answer = rig.ask("POST");
    CHECK(answer.starts_with("HTTP/1.1 502"));
    CHECK(header_of(answer, "X-Outcome") == "not-run");
    CHECK(header_of(answer, "X-Reason") == "server-failed");
    CHECK(eventually([&] { return rig.in_flight() == 0; }));
}

TEST_CASE("a non-idempotent call that was written reaches one server once and ends as unknown")
{
    std::atomic<int> seen{0};
    const auto script = [&](test_connection& peer) {
        if (!peer.read_head().empty()) {
            ++seen;
        }
    };
    scripted_server first(script);
    scripted_server second(script);
    edge_rig rig({first.port(), second.port()});
    const auto answer = rig.ask("POST");
    CHECK(answer.starts_with("HTTP/1.1 502"));
    CHECK(header_of(answer, "X-Outcome") == "unknown");
    CHECK(seen == 1);
    CHECK(eventually([&] { return rig.in_flight() == 0; }));
}

TEST_CASE("safe and idempotent calls go on to another server after a failure")
{
    mortal_servers servers({0, 2});
    scripted_server first(servers.script());
    scripted_server second(servers.script());
    edge_rig rig({first.port(), second.port()});
    for (const auto* method : {"GET", "PUT"}) {
        const auto answer = rig.ask(method);
        CHECK(header_of(answer, "X-Outcome") == "answered");
    }
    CHECK(rig.counter_value("sniperock_retries_total") == 2);
}

TEST_CASE("retries stay within their budget")
{
    mortal_servers servers({0, 2});
    scripted_server first(servers.script());
    scripted_server second(servers.script());
    auto limits = edge_rig::quick_limits();
    limits.retry_burst = 1;
    limits.retry_ratio = 0;
    edge_rig rig({first.port(), second.port()}, limits);
    CHECK(header_of(rig.ask("GET"), "X-Outcome") == "answered");
    const auto answer = rig.ask("GET");
    CHECK(header_of(answer, "X-Outcome") == "unknown");
    CHECK(header_of(answer, "X-Reason") == "server-failed");
}

TEST_CASE("a call that its server sheds runs on another one, whatever its class")
{
    std::atomic<int> ran{0};
    scripted_server full([](test_connection& peer) {
        while (!peer.read_head().empty()) {
            peer.read_bytes(2);
            peer.send("HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
        }
    });
    scripted_server server([&](test_connection& peer) {
        while (!peer.read_head().empty()) {
            CHECK(peer.read_bytes(2) == "ab");
            ++ran;
            peer.send(answer_of("done"));
        }
    });
    edge_rig rig({full.port(), server.port()});
    CHECK(rig.ask("POST", "Content-Length: 2\r\n", "ab").ends_with("done"));
    CHECK(ran == 1);
}

TEST_CASE("a call that every server sheds was not run, and the caller is told when to come back")
{
    scripted_server full([](test_connection& peer) {
        peer.read_head();
        peer.send("HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nRetry-After: 7\r\n"
                  "Content-Length: 0\r\n\r\n");
    });
    edge_rig rig({full.port()});
    const auto answer = rig.ask("POST");
    CHECK(answer.starts_with("HTTP/1.1 503"));
    CHECK(header_of(answer, "X-Outcome") == "not-run");
    CHECK(header_of(answer, "X-Reason") == "shed");
    CHECK(header_of(answer, "Retry-After") == "7");
}

TEST_CASE("a kept connection that dies as a call is written is unknown if it may not be repeated")
{
    // Answers one call, then reads the next one and closes: as a server that stops.
    const auto script = [](test_connection& peer) {
        peer.read_head();
        peer.send(answer_of("first"));
        peer.read_head();
    };
    scripted_server server(script);
    edge_rig rig({server.port()});
    REQUIRE(rig.ask("GET").ends_with("first"));
    REQUIRE(eventually([&] { return rig.in_flight() == 0; }));
    CHECK(header_of(rig.ask("POST"), "X-Outcome") == "unknown");
    REQUIRE(rig.ask("GET").ends_with("first"));
    CHECK(rig.ask("GET").ends_with("first"));
}

TEST_CASE("a silent server ends at the deadline with the true outcome")
{
    scripted_server silent([](test_connection& peer) { peer.wait_closed(); });
    edge_rig rig({silent.port()});
    const auto answer = rig.ask("POST", "X-Timeout-Ms: 50\r\n");
    CHECK(answer.starts_with("HTTP/1.1 504"));
    CHECK(header_of(answer, "X-Outcome") == "unknown");
    CHECK(header_of(answer, "X-Reason") == "deadline");
    CHECK(eventually([&] { return rig.in_flight() == 0; }));
}

TEST_CASE("a caller who states a longer deadline than is allowed gets the longest one")
{
    scripted_server silent([](test_connection& peer) { peer.wait_closed(); });
    auto limits = edge_rig::quick_limits();
    limits.max_deadline = milliseconds{50};
    edge_rig rig({silent.port()}, limits);
    CHECK(rig.ask("POST", "X-Timeout-Ms: 80000000\r\n").starts_with("HTTP/1.1 504"));
}

TEST_CASE("a call whose deadline passes in the queue was not run")
{
    scripted_server silent([](test_connection& peer) { peer.wait_closed(); });
    edge_rig rig({silent.port()}, edge_rig::quick_limits(), 1);
    const auto holder = rig.connect();
    holder->send(rig.request("GET"));
    REQUIRE(eventually([&] { return rig.in_flight() == 1; }));
    const auto answer = rig.ask("POST", "X-Timeout-Ms: 50\r\n");
    CHECK(answer.starts_with("HTTP/1.1 504"));
    CHECK(header_of(answer, "X-Outcome") == "not-run");
}

TEST_CASE("a slow safe call is tried on a second server and the first answer wins")
{
    std::atomic<bool> slow{false};
    std::atomic<bool> dropped{false};
    const auto script = [&](test_connection& peer) {
        while (!peer.read_head().empty()) {
            if (slow.exchange(false)) {
                dropped = peer.wait_closed();
                return;
            }
            peer.send(answer_of("hello"));
        }
    };
    scripted_server first(script);
    scripted_server second(script);
    edge_rig rig({first.port(), second.port()});
    constexpr int enough_samples = 120;
    for (int call = 0; call < enough_samples; ++call) {
        REQUIRE(rig.ask("GET").ends_with("hello"));
    }
    const auto hedges_before = rig.counter_value("sniperock_hedges_won_total");
    slow = true;
    CHECK(rig.ask("GET").ends_with("hello"));
    CHECK_FALSE(slow);
    CHECK(eventually([&] { return dropped.load() && rig.in_flight() == 0; }));
    CHECK(rig.counter_value("sniperock_hedges_won_total") == hedges_before + 1);
}

/** @file edge_input_test.cpp Input from callers that is refused and never reaches a server. */
#include "edge_fixture.hpp"

#include <catch2/catch.hpp>

using namespace sniperock;

namespace {

/** A rig whose server counts what reaches it. */
struct guarded {
    explicit guarded(edge_limits limits = edge_rig::quick_limits())
        : server([this](test_connection& peer) {
              while (!peer.read_head().empty()) {
                  ++reached;
                  peer.send(answer_of("x"));
              }
          }),
          rig({server.port()}, std::move(limits))
    {
    }

    /** Sends raw bytes and returns the status of the answer. */
    std::string status_for(const std::string& text)
    {
        const auto caller = rig.connect();
        caller->send(text);
        return caller->read_all().substr(9, 3);
    }

    std::atomic<int> reached{0};
    scripted_server server;
    edge_rig rig;
};

const std::string start = "POST /x HTTP/1.1\r\nHost: s\r\nX-Plan-Key: k\r\n";

} // namespace

TEST_CASE("smuggling-shaped and malformed requests are refused")
{
    guarded test;
    const std::vector<std::string> refused{
        start + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        start + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        start + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
        start + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        start + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
        start + "Content-Length: 3, 3\r\n\r\nabc",
        start + "Content-Length: +3\r\n\r\nabc",
        start + "Content-Length : 3\r\n\r\nabc",
        start + "X: a\r\n folded\r\n\r\n",
        start + "X: a\nY: b\r\n\r\n",
        start + "X: a\rY: b\r\n\r\n",
        start + std::string("X: a\0b\r\n\r\n", 10),
        start + "X Y: b\r\n\r\n",
        start + "Transfer-Encoding: chunked\r\n\r\nZZ\r\n",
        start + "Transfer-Encoding: chunked\r\n\r\n3\nabc\r\n0\r\n\r\n",
        start + "Transfer-Encoding: chunked\r\n\r\n3\rXabc\r\n0\r\n\r\n",
        start + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\n0\r\n\r\n",
        start + "Transfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\nabc\r\n",
        start + "Host: other\r\n\r\n",
        "GET / HTTP/1.1\r\nX-Plan-Key: k\r\n\r\n",
        "GET http://s/x HTTP/1.1\r\nHost: s\r\nX-Plan-Key: k\r\n\r\n",
        "CONNECT s:80 HTTP/1.1\r\nHost: s\r\nX-Plan-Key: k\r\n\r\n",
        "hello\r\n\r\n",
    };
    for (const auto& text : refused) {
        CAPTURE(text);
        CHECK(test.status_for(text) == "400");
    }
    CHECK(test.status_for("GET /x HTTP/1.0\r\nHost: s\r\nX-Plan-Key: k\r\n\r\n") == "505");
    CHECK(test.status_for("GET /x\r\n\r\n") == "505");
    CHECK(test.reached == 0);
    CHECK(test.rig.in_flight() == 0);
    CHECK(test.rig.counters().not_run == refused.size() + 2);
}

TEST_CASE("oversized heads and bodies are refused")
{
    auto limits = edge_rig::quick_limits();
    limits.max_body_bytes = 10;
    guarded test(limits);
    std::string many = start;
    for (int line = 0; line < 200; ++line) {
        many += "X: 1\r\n";
    }
    CHECK(test.status_for(many + "\r\n") == "431");
    CHECK(test.status_for(start + "X: " + std::string(30'000, 'a') + "\r\n\r\n") == "431");
    CHECK(test.status_for(start + "Content-Length: 11\r\n\r\n") == "413");
    CHECK(test.status_for(start + "Transfer-Encoding: chunked\r\n\r\nb\r\n01234567890\r\n") ==
          "413");
    CHECK(test.status_for(start + "Expect: magic\r\nConnection: close\r\n\r\n") == "417");
    CHECK(test.reached == 0);
}

TEST_CASE("keys, services and timeouts that are wrong get their own answers")
{
    guarded test;
    CHECK(test.status_for("GET / HTTP/1.1\r\nHost: s\r\nConnection: close\r\n\r\n") == "401");
    CHECK(test.status_for("GET / HTTP/1.1\r\nHost: s\r\nX-Plan-Key: no\r\n"
                          "Connection: close\r\n\r\n") == "401");
    CHECK(test.status_for("GET / HTTP/1.1\r\nHost: t\r\nX-Plan-Key: k\r\n"
                          "Connection: close\r\n\r\n") == "404");
    CHECK(test.status_for("GET /locate?service=none HTTP/1.1\r\nHost: t\r\n"
                          "Connection: close\r\n\r\n") == "404");
    CHECK(test.status_for(start + "X-Timeout-Ms: soon\r\nConnection: close\r\n\r\n") == "400");
    CHECK(test.reached == 0);
}

TEST_CASE("a caller who sends a head too slowly is timed out, an idle one is closed")
{
    auto limits = edge_rig::quick_limits();
    limits.header_timeout = milliseconds{50};
    limits.idle_timeout = milliseconds{50};
    guarded test(limits);
    CHECK(test.status_for("GET /x HTT") == "408");
    const auto idle = test.rig.connect();
    CHECK(idle->wait_closed());
    CHECK(test.reached == 0);
    CHECK(eventually([&] { return test.rig.counters().connections == 0; }));
}

TEST_CASE("connections over the limit are told so")
{
    auto limits = edge_rig::quick_limits();
    limits.max_connections = 1;
    guarded test(limits);
    const auto first = test.rig.connect();
    REQUIRE(eventually([&] { return test.rig.counters().connections == 1; }));
    const auto second = test.rig.connect();
    const auto answer = second->read_all();
    CHECK(answer.starts_with("HTTP/1.1 503"));
    CHECK(header_of(answer, "X-Outcome") == "not-run");
    CHECK(header_of(answer, "X-Reason") == "connection-limit");
    first->send(test.rig.request("GET"));
    CHECK(first->read_head().starts_with("HTTP/1.1 200"));
}

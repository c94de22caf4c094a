/** @file edge_path_test.cpp Bodies, cancellation, crossed answers, downloads and draining. */
#include "edge_fixture.hpp"

#include <catch2/catch.hpp>

#include <future>
#include <utility>

using namespace sniperock;

TEST_CASE("a server may answer before the body is whole")
{
    scripted_server server([](test_connection& peer) {
        peer.read_head();
        peer.send(answer_of("early"));
        peer.wait_closed();
    });
    edge_rig rig({server.port()});
    const auto caller = rig.connect();
    caller->send(rig.request("POST", "Content-Length: 1000000\r\n") + "only a part");
    const auto answer = caller->read_all();
    CHECK(answer.ends_with("early"));
    CHECK(header_of(answer, "Connection") == "close");
    CHECK(eventually([&] { return rig.in_flight() == 0; }));
}

TEST_CASE("a body streams through in both directions, chunked and by length, without trailers")
{
    std::string sent(3'000'000, 'q');
    scripted_server server([&](test_connection& peer) {
        const auto head = peer.read_head();
        CHECK(head.find("Transfer-Encoding: chunked") != std::string::npos);
        CHECK(head.find("X-Plan-Key") == std::string::npos);
        std::string body;
        for (auto line = peer.read_until("\r\n"); line != "0\r\n"; line = peer.read_until("\r\n")) {
            body += peer.read_bytes(std::stoul(line, nullptr, 16));
            peer.read_until("\r\n");
        }
        CHECK(peer.read_until("\r\n") == "\r\n");
        CHECK(body == sent);
        peer.send("HTTP/1.1 200 OK\r\n\r\n" + body);
    });
    edge_rig rig({server.port()});
    const auto caller = rig.connect();
    caller->send(rig.request("POST", "Transfer-Encoding: chunked\r\nConnection: close\r\n"));
    std::thread writer(
        [&] { caller->send("2dc6c0\r\n" + sent + "\r\n0\r\nX-Trailer: t\r\n\r\n"); });
    const auto head = caller->read_head();
    CHECK(header_of(head, "Transfer-Encoding") == "chunked");
    std::string body;
    for (auto line = caller->read_until("\r\n"); line != "0\r\n" && !line.empty();
         line = caller->read_until("\r\n")) {
        body += caller->read_bytes(std::stoul(line, nullptr, 16));
        caller->read_until("\r\n");
    }
    writer.join();
    CHECK(body == sent);
}

TEST_CASE("a caller who waits to be asked for the body is asked")
{
    scripted_server server([](test_connection& peer) {
        const auto head = peer.read_head();
        CHECK(head.find("Expect") == std::string::npos);
        CHECK(peer.read_bytes(4) == "body");
        peer.send("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + answer_of("done"));
    });
    edge_rig rig({server.port()});
    const auto caller = rig.connect();
    caller->send(rig.request("POST", "Content-Length: 4\r\nExpect: 100-continue\r\n"));
    CHECK(caller->read_head() == "HTTP/1.1 100 Continue\r\n\r\n");
    caller->send("body");
    CHECK(caller->read_head().starts_with("HTTP/1.1 200"));
    CHECK(caller->read_bytes(4) == "done");
}

TEST_CASE("pipelined calls are answered in order")
{
    scripted_server server([](test_connection& peer) {
        for (auto head = peer.read_head(); !head.empty(); head = peer.read_head()) {
            peer.send(answer_of(header_of(head, "X-Request-Id")));
        }
    });
    edge_rig rig({server.port()});
    const auto caller = rig.connect();
    std::string all;
    for (const auto* id : {"1", "2", "3"}) {
        all += rig.request("GET", std::string{"X-Request-Id: "} + id + "\r\n");
    }
    caller->send(all);
    for (const auto* id : {"1", "2", "3"}) {
        caller->read_head();
        CHECK(caller->read_bytes(1) == id);
    }
}

TEST_CASE("no call is lost while its caller does not read")
{
    constexpr std::size_t calls = 50'000;
    edge_rig rig({});
    const auto caller = rig.connect();
    std::thread writer([&] {
        const std::string one = "GET /x HTTP/1.1\r\nHost: s\r\n\r\n";
        for (std::size_t call = 0; call < calls; ++call) {
            caller->send(one);
        }
        caller->send("GET /x HTTP/1.1\r\nHost: s\r\nConnection: close\r\n\r\n");
    });
    REQUIRE(eventually([&] { return rig.counters().not_run > 0; }));
    const auto answers = caller->read_all();
    writer.join();
    std::size_t found = 0;
    for (auto at = answers.find("HTTP/1.1 401"); at != std::string::npos;
         at = answers.find("HTTP/1.1 401", at + 1)) {
        ++found;
    }
    CHECK(found == calls + 1);
}

TEST_CASE("a HEAD answer keeps its length and has no body")
{
    scripted_server server([](test_connection& peer) {
        while (!peer.read_head().empty()) {
            peer.send("HTTP/1.1 200 OK\r\nContent-Length: 1234\r\n\r\n");
        }
    });
    edge_rig rig({server.port()});
    const auto caller = rig.connect();
    for (int call = 0; call < 2; ++call) {
        caller->send(rig.request("HEAD"));
        const auto head = caller->read_head();
        CHECK(header_of(head, "Content-Length") == "1234");
        CHECK(head.find("Transfer-Encoding") == std::string::npos);
    }
}

TEST_CASE("a caller who leaves while the call runs closes the server's connection")
{
    std::promise<bool> closed;
    scripted_server server([&](test_connection& peer) {
        peer.read_head();
        closed.set_value(peer.wait_closed());
    });
    edge_rig rig({server.port()});
    auto caller = rig.connect();
    caller->send(rig.request("POST"));
    REQUIRE(eventually([&] { return rig.in_flight() == 1; }));
    caller->close();
    CHECK(closed.get_future().get());
    CHECK(eventually([&] { return rig.in_flight() == 0; }));
}

TEST_CASE("the slot of an abandoned call stays taken until its server has let go of it")
{
    std::atomic<int> running{0};
    std::atomic<int> most_running{0};
    std::promise<void> noticed;
    std::promise<void> let_go;
    auto may_let_go = let_go.get_future().share();
    std::atomic<int> calls{0};
    scripted_server server([&](test_connection& peer) {
        while (!peer.read_head().empty()) {
            most_running = std::max<int>(most_running, ++running);
            if (++calls == 1) {
                peer.wait_closed();
                noticed.set_value();
                may_let_go.wait();
                --running;
                return;
            }
            --running;
            peer.send(answer_of("x"));
        }
    });
    edge_rig rig({server.port()}, edge_rig::quick_limits(), 1);
    auto leaver = rig.connect();
    leaver->send(rig.request("POST"));
    REQUIRE(eventually([&] { return calls == 1; }));
    auto next = rig.connect();
    next->send(rig.request("POST", "Connection: close\r\n"));
    REQUIRE(eventually([&] { return rig.waiting() == 1; }));
    leaver->close();
    noticed.get_future().wait();
    CHECK(rig.in_flight() == 1);
    CHECK(rig.waiting() == 1);
    let_go.set_value();
    CHECK(next->read_all().ends_with("x"));
    CHECK(most_running == 1);
}

TEST_CASE("a caller who leaves while the call waits gives its place up")
{
    std::atomic<int> seen{0};
    scripted_server server([&](test_connection& peer) {
        while (!peer.read_head().empty()) {
            ++seen;
            if (seen > 1) {
                peer.send(answer_of("x"));
                continue;
            }
            peer.wait_closed();
        }
    });
    edge_rig rig({server.port()}, edge_rig::quick_limits(), 1);
    auto holder = rig.connect();
    holder->send(rig.request("POST"));
    REQUIRE(eventually([&] { return seen == 1; }));
    auto second = rig.connect();
    second->send(rig.request("POST"));
    REQUIRE(eventually([&] { return rig.waiting() == 1; }));
    second->close();
    REQUIRE(eventually([&] { return rig.waiting() == 0; }));
    holder->close();
    CHECK(eventually([&] { return rig.in_flight() == 0; }));
    CHECK(seen == 1);
}

TEST_CASE("bytes that no call asked for never reach a caller")
{
    std::atomic<int> calls{0};
    scripted_server server([&](test_connection& peer) {
        while (!peer.read_head().empty()) {
            const bool first = ++calls == 1;
            peer.send(answer_of(first ? "first" : "other"));
            if (first) {
                peer.send(answer_of("crossed"));
            }
        }
    });
    edge_rig rig({server.port()});
    CHECK(rig.ask("GET").ends_with("first"));
    REQUIRE(eventually([&] { return rig.in_flight() == 0; }));
    CHECK(rig.ask("GET").ends_with("other"));
    CHECK(server.accepted() == 2);
}

TEST_CASE("an answer that comes after its call has ended never reaches another caller")
{
    std::atomic<int> connections{0};
    std::promise<void> may_be_late;
    std::promise<void> sent_late;
    auto late = may_be_late.get_future().share();
    scripted_server server([&](test_connection& peer) {
        bool first = ++connections == 1;
        while (!peer.read_head().empty()) {
            peer.send(answer_of(first ? "first" : "second"));
            if (std::exchange(first, false)) {
                late.wait();
                peer.send(answer_of("late"));
                sent_late.set_value();
            }
        }
    });
    edge_rig rig({server.port()});
    CHECK(rig.ask("GET").ends_with("first"));
    REQUIRE(eventually([&] { return rig.in_flight() == 0; }));
    may_be_late.set_value();
    sent_late.get_future().wait();
    CHECK(rig.ask("GET").ends_with("second"));
}

TEST_CASE("a download that breaks off goes on from another server")
{
    const std::string body = std::string(70'000, 'a') + std::string(50'000, 'b');
    scripted_server dying([&](test_connection& peer) {
        peer.read_head();
        peer.send(answer_of(body, "ETag: \"v1\"\r\n").substr(0, 80'000));
    });
    std::promise<std::string> asked;
    scripted_server other([&](test_connection& peer) {
        const auto head = peer.read_head();
        asked.set_value(header_of(head, "If-Range"));
        const auto range = header_of(head, "Range");
        const auto from = std::stoul(range.substr(std::string{"bytes="}.size()));
        const auto rest = body.substr(from);
        peer.send("HTTP/1.1 206 Partial Content\r\nETag: \"v1\"\r\nContent-Range: bytes " +
                  std::to_string(from) + "-" + std::to_string(body.size() - 1) + "/" +
                  std::to_string(body.size()) +
                  "\r\nContent-Length: " + std::to_string(rest.size()) + "\r\n\r\n" + rest);
    });
    edge_rig rig({dying.port(), other.port()});
    const auto answer = rig.ask("GET");
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(answer.substr(answer.find("\r\n\r\n") + 4) == body);
    CHECK(asked.get_future().get() == "\"v1\"");
}

TEST_CASE("a download that cannot go on is broken off visibly")
{
    const std::string body(100'000, 'a');
    const auto cut_short = [&](const std::string& more) {
        return [&, more](test_connection& peer) {
            peer.read_head();
            peer.send(answer_of(body, more).substr(0, 50'000));
        };
    };
    SECTION("no entity tag")
    {
        scripted_server dying(cut_short(""));
        scripted_server other(always("x"));
        edge_rig rig({dying.port(), other.port()});
        const auto answer = rig.ask("GET");
        CHECK(header_of(answer, "Content-Length") == "100000");
        CHECK(answer.size() < body.size());
    }
    SECTION("another version on the other server")
    {
        scripted_server dying(cut_short("ETag: \"v1\"\r\n"));
        scripted_server other([&](test_connection& peer) {
            peer.read_head();
            peer.send(answer_of(std::string(100'000, 'b'), "ETag: \"v2\"\r\n"));
        });
        edge_rig rig({dying.port(), other.port()});
        const auto answer = rig.ask("GET");
        CHECK(answer.size() < body.size());
        CHECK(answer.substr(answer.find("\r\n\r\n") + 4).find('b') == std::string::npos);
    }
    SECTION("a chunked body never gets its last chunk")
    {
        scripted_server dying([](test_connection& peer) {
            peer.read_head();
            peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n");
        });
        edge_rig rig({dying.port()});
        const auto answer = rig.ask("GET");
        CHECK(answer.ends_with("5\r\nhello\r\n"));
    }
}

TEST_CASE("a drain lets the running call end, says close, and refuses new connections")
{
    std::promise<void> go_on;
    auto may_answer = go_on.get_future().share();
    scripted_server server([&](test_connection& peer) {
        peer.read_head();
        may_answer.wait();
        peer.send(answer_of("done"));
    });
    edge_rig rig({server.port()});
    const auto caller = rig.connect();
    caller->send(rig.request("GET"));
    REQUIRE(eventually([&] { return rig.in_flight() == 1; }));
    auto drained = std::async(std::launch::async, [&] {
        return rig.edge().drain(std::chrono::duration_cast<milliseconds>(test_patience));
    });
    REQUIRE(eventually([&] {
        asio::io_context io;
        tcp::socket probe(io);
        asio::error_code error;
        probe.connect({asio::ip::address_v4::loopback(), rig.edge().port()}, error);
        return error.value() != 0;
    }));
    go_on.set_value();
    const auto answer = caller->read_all();
    CHECK(answer.ends_with("done"));
    CHECK(header_of(answer, "Connection") == "close");
    CHECK(drained.get() == 0);
}

TEST_CASE("a drain that passes its bound says how many calls it cuts")
{
    scripted_server silent([](test_connection& peer) { peer.wait_closed(); });
    edge_rig rig({silent.port()});
    const auto caller = rig.connect();
    caller->send(rig.request("GET"));
    REQUIRE(eventually([&] { return rig.in_flight() == 1; }));
    CHECK(rig.edge().drain(milliseconds{100}) == 1);
    rig.edge().stop();
    CHECK(rig.in_flight() == 0);
}

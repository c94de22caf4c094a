/** @file edge_fixture.hpp Scripted servers, a caller and an edge between them, on loopback. */
#pragma once

#include "edge_server.hpp"
#include "hash_func.hpp"

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>

#include <poll.h>
#include <sys/socket.h>

#include <atomic>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace sniperock {

using asio::ip::tcp;

/** Longest wait for anything in these tests; reaching it is a failure. */
inline constexpr seconds test_patience{20};

/** A blocking connection to or from the edge. */
class test_connection {
public:
    explicit test_connection(tcp::socket socket) : socket_(std::move(socket)) {}

    bool send(std::string_view text)
    {
        asio::error_code error;
        asio::write(socket_, asio::buffer(text.data(), text.size()), error);
        return !error;
    }
    /** Reads up to and with @p end; what came so far if the connection ends before. */
    std::string read_until(const std::string& end)
    {
        while (held_.find(end) == std::string::npos && fill()) {
        }
        const auto at = held_.find(end);
        return take(at == std::string::npos ? held_.size() : at + end.size());
    }
    std::string read_head() { return read_until("\r\n\r\n"); }
    std::string read_bytes(std::size_t size)
    {
        while (held_.size() < size && fill()) {
        }
        return take(std::min(size, held_.size()));
    }
    /** Reads until the peer closes. */
    std::string read_all()
    {
        while (fill()) {
        }
        return take(held_.size());
    }
    /** True once the peer has closed; waits for it. */
    bool wait_closed()
    {
        while (fill()) {
        }
        return ended_;
    }
    /** Breaks the connection off without waking a reader by a regular end. */
    void close()
    {
        asio::error_code ignored;
        socket_.shutdown(tcp::socket::shutdown_both, ignored);
        socket_.close(ignored);
    }
    void stop() { ::shutdown(socket_.native_handle(), SHUT_RDWR); }

private:
    bool fill()
    {
        pollfd waiting{socket_.native_handle(), POLLIN, 0};
        constexpr milliseconds patience = test_patience;
        if (::poll(&waiting, 1, static_cast<int>(patience.count())) != 1) {
            return false;
        }
        std::array<char, 65'536> buffer{};
        asio::error_code error;
        const auto size = socket_.read_some(asio::buffer(buffer), error);
        held_.append(buffer.data(), size);
        ended_ = error.value() != 0;
        return !ended_;
    }
    std::string take(std::size_t size)
    {
        auto result = held_.substr(0, size);
        held_.erase(0, size);
        return result;
    }

    tcp::socket socket_;
    std::string held_;
    bool ended_ = false;
};

/** A server whose connections each run a script on a thread of their own. */
class scripted_server {
public:
    using script = std::function<void(test_connection&)>;

    explicit scripted_server(script run)
        : run_(std::move(run)), acceptor_(io_, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
          port_(acceptor_.local_endpoint().port()), thread_([this] { accept_all(); })
    {
    }
    ~scripted_server() { stop(); }
    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;

    [[nodiscard]] std::uint16_t port() const { return port_; }
    /** Connections accepted so far. */
    [[nodiscard]] std::size_t accepted() const { return accepted_; }
    void stop()
    {
        if (!thread_.joinable()) {
            return;
        }
        stopping_ = true;
        ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
        thread_.join();
        for (auto& item : connections_) {
            item.connection->stop();
            item.thread.join();
        }
    }

private:
    struct running {
        std::unique_ptr<test_connection> connection;
        std::thread thread;
    };

    void accept_all()
    {
        while (!stopping_) {
            asio::error_code error;
            auto socket = acceptor_.accept(error);
            if (error) {
                continue;
            }
            ++accepted_;
            auto& item = connections_.emplace_back();
            item.connection = std::make_unique<test_connection>(std::move(socket));
            item.thread = std::thread([this, at = item.connection.get()] {
                run_(*at);
                at->stop();
            });
        }
    }

    script run_;
    asio::io_context io_;
    tcp::acceptor acceptor_;
    std::uint16_t port_;
    std::atomic<bool> stopping_{false};
    std::atomic<std::size_t> accepted_{0};
    std::list<running> connections_;
    std::thread thread_;
};

/** An edge with one service "s", one plan "gold" with key "k", and the given servers. */
class edge_rig {
public:
    explicit edge_rig(const std::vector<std::uint16_t>& ports, edge_limits limits = quick_limits(),
                      std::uint32_t slots_each = 8)
        : edge_(std::move(limits), slots_, routers_, locator_, counters_, measured_)
    {
        config_snapshot config;
        config.plans = {{"gold", {sha256_hex("k")}}};
        service_entry service{"s", {"s"}, "", 1, {}};
        for (std::size_t at = 0; at < ports.size(); ++at) {
            service.servers.push_back(
                {"server-" + std::to_string(at), "127.0.0.1", ports[at], "d", slots_each, 1});
        }
        slots_.set_owned({{"s", service.servers}});
        config.services = {std::move(service)};
        routers_.set(std::make_shared<const edge_router>(
            std::make_shared<const config_snapshot>(std::move(config))));
        edge_.start();
    }

    static edge_limits quick_limits()
    {
        edge_limits limits;
        limits.threads = 1;
        limits.default_deadline = std::chrono::duration_cast<milliseconds>(test_patience);
        limits.drain_grace = milliseconds{50};
        return limits;
    }

    /** A new caller's connection. */
    std::unique_ptr<test_connection> connect()
    {
        tcp::socket socket(io_);
        socket.connect({asio::ip::address_v4::loopback(), edge_.port()});
        return std::make_unique<test_connection>(std::move(socket));
    }
    /** Sends one request on a connection of its own and reads the whole answer. */
    std::string ask(const std::string& method, const std::string& more = "",
                    const std::string& body = "")
    {
        const auto caller = connect();
        caller->send(request(method, "Connection: close\r\n" + more) + body);
        return caller->read_all();
    }
    static std::string request(const std::string& method, const std::string& more = "")
    {
        return method + " /x HTTP/1.1\r\nHost: s\r\nX-Plan-Key: k\r\n" + more + "\r\n";
    }
    /** Slots in use now. */
    [[nodiscard]] std::size_t in_flight() const
    {
        std::size_t sum = 0;
        for (const auto& item : slots_.status()) {
            sum += item.in_flight;
        }
        return sum;
    }
    [[nodiscard]] std::size_t waiting() const
    {
        std::size_t sum = 0;
        for (const auto& item : slots_.status()) {
            sum += item.waiting;
        }
        return sum;
    }
    edge_server& edge() { return edge_; }
    edge_counters& counters() { return counters_; }
    /** The value of a counter without labels. */
    [[nodiscard]] double counter_value(const std::string& name) const
    {
        const auto text = "\n" + measured_.text();
        const auto at = text.find("\n" + name + " ");
        return at == std::string::npos ? -1 : std::stod(text.substr(at + name.size() + 2));
    }

private:
    asio::io_context io_;
    metrics measured_;
    dispatcher slots_{{{"vm-a", incarnation{1}}, "d"}, {100, "owner"}, {}};
    router_holder routers_;
    locate_service locator_{seconds{5}, 1};
    edge_counters counters_;
    edge_server edge_;
};

/** Waits until @p condition holds. @return false if it never does. */
template <typename Condition>
bool eventually(Condition condition)
{
    const auto end = boot_clock::now() + test_patience;
    while (!condition()) {
        if (boot_clock::now() > end) {
            return false;
        }
        std::this_thread::sleep_for(milliseconds{1});
    }
    return true;
}

/** An answer with @p body. */
inline std::string answer_of(const std::string& body, const std::string& more = "")
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + more +
           "\r\n" + body;
}

/** The value of a header in an answer's text; empty if absent. */
inline std::string header_of(const std::string& answer, const std::string& name)
{
    const auto at = answer.find("\r\n" + name + ": ");
    if (at == std::string::npos) {
        return {};
    }
    const auto from = at + name.size() + 4;
    return answer.substr(from, answer.find("\r\n", from) - from);
}

/** Answers every request on a connection with @p body. */
inline scripted_server::script always(std::string body)
{
    return [body = std::move(body)](test_connection& peer) {
        while (!peer.read_head().empty()) {
            peer.send(answer_of(body));
        }
    };
}

} // namespace sniperock

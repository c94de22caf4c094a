/** @file bench_peer.cpp A fast server and fast callers for benchmarks of the callers' path. */
#include "bench_peer.hpp"
#include "http_parser.hpp"
#include "http_write.hpp"

#include <asio/buffer.hpp>
#include <asio/connect.hpp>
#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <deque>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace sniperock {
namespace {

using asio::ip::tcp;

constexpr std::size_t read_bytes = 262'144;
constexpr std::size_t max_head_bytes = 65'536;
constexpr std::size_t piece_bytes = 262'144;
const std::string request_text = "GET /bench HTTP/1.1\r\nHost: bench\r\nX-Plan-Key: bench\r\n"
                                 "User-Agent: sniperock-bench\r\nAccept: */*\r\n\r\n";

/** One connection of the server. */
class served_connection : public std::enable_shared_from_this<served_connection> {
public:
    served_connection(tcp::socket socket, std::uint64_t body_bytes)
        : socket_(std::move(socket)), parser_(http_side::request, max_head_bytes),
          body_bytes_(body_bytes), buffer_(max_head_bytes, '\0')
    {
    }

    void read()
    {
        socket_.async_read_some(
            asio::buffer(buffer_),
            [self = shared_from_this()](asio::error_code error, std::size_t size) {
                if (!error) {
                    self->parser_.feed(std::string_view{self->buffer_}.substr(0, size));
                    self->go_on();
                }
            });
    }

private:
    void go_on()
    {
        if (!parser_.message_complete()) {
            read();
            return;
        }
        out_.clear();
        append_status_line(out_, 200);
        append_header(out_, "X-Server-Load", "phase=warm;in_flight=1;slots=64");
        append_framing(out_, body_framing::length, body_bytes_);
        out_ += "\r\n";
        left_ = body_bytes_;
        write_piece();
    }

    void write_piece()
    {
        const auto size = std::min<std::uint64_t>(left_, piece_bytes);
        out_.append(size, 'x');
        left_ -= size;
        asio::async_write(socket_, asio::buffer(out_),
                          [self = shared_from_this()](asio::error_code error, std::size_t) {
                              if (!error) {
                                  self->written();
                              }
                          });
    }

    void written()
    {
        out_.clear();
        if (left_ > 0) {
            write_piece();
            return;
        }
        parser_.reset();
        read();
    }

    tcp::socket socket_;
    http_message_parser parser_;
    std::uint64_t body_bytes_;
    std::string buffer_;
    std::string out_;
    std::uint64_t left_ = 0;
};

/** Calls of one thread. */
class calling_thread {
public:
    calling_thread(const bench_calls& calls, double rate) : calls_(calls), rate_(rate) {}

    bench_result run()
    {
        const auto start = boot_clock::now();
        end_ = start + calls_.duration;
        next_ = start;
        for (std::size_t at = 0; at < calls_.connections / calls_.threads; ++at) {
            connections_.push_back(std::make_unique<connection>(io_));
            auto& item = *connections_.back();
            item.socket.connect({asio::ip::address_v4::loopback(), calls_.port});
            item.socket.set_option(tcp::no_delay(true));
            idle_.push_back(&item);
        }
        while (boot_clock::now() < end_ || idle_.size() < connections_.size()) {
            start_due();
            io_.poll();
            io_.restart();
            if (boot_clock::now() > end_ + grace) {
                break;
            }
        }
        result_.took = boot_clock::now() - start;
        return std::move(result_);
    }

private:
    struct connection {
        explicit connection(asio::io_context& io)
            : socket(io), parser(http_side::response, max_head_bytes), buffer(max_head_bytes, '\0')
        {
        }
        tcp::socket socket;
        http_message_parser parser;
        std::string buffer;
        local_time intended;
    };

    static constexpr seconds grace{2};

    void start_due()
    {
        const auto now = boot_clock::now();
        while (!idle_.empty() && now < end_ && (rate_ == 0 || next_ <= now)) {
            auto& item = *idle_.front();
            idle_.pop_front();
            item.intended = now;
            if (rate_ > 0) {
                item.intended = next_;
                next_ += std::chrono::duration_cast<nanoseconds>(
                    std::chrono::duration<double>(1.0 / rate_));
            }
            item.parser.reset();
            asio::error_code ignored;
            asio::write(item.socket, asio::buffer(request_text), ignored);
            read(item);
        }
    }

    void read(connection& item)
    {
        item.socket.async_read_some(
            asio::buffer(item.buffer),
            [this, &item](asio::error_code error, std::size_t size) { take(item, error, size); });
    }

    void take(connection& item, asio::error_code error, std::size_t size)
    {
        std::string_view data{item.buffer.data(), size};
        while (!error && !data.empty() && !item.parser.message_complete()) {
            data.remove_prefix(item.parser.feed(data));
        }
        if (!error && !item.parser.message_complete()) {
            read(item);
            return;
        }
        constexpr int ok = 200;
        if (error || item.parser.head().status != ok) {
            ++result_.failed;
        }
        else {
            ++result_.answered;
            result_.latencies.add(
                std::chrono::duration_cast<microseconds>(boot_clock::now() - item.intended));
        }
        if (!error) {
            idle_.push_back(&item);
        }
    }

    const bench_calls& calls_;
    double rate_;
    asio::io_context io_{1};
    std::vector<std::unique_ptr<connection>> connections_;
    std::deque<connection*> idle_;
    local_time next_;
    local_time end_;
    bench_result result_;
};

} // namespace

/** The listening socket and the threads. */
struct bench_server::impl {
    impl(std::size_t threads, std::uint64_t with_body)
        : body_bytes(with_body), acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
          guard(asio::make_work_guard(io))
    {
        accept();
        for (std::size_t at = 0; at < threads; ++at) {
            running.emplace_back([this] { io.run(); });
        }
    }

    void accept()
    {
        acceptor.async_accept([this](asio::error_code error, tcp::socket socket) {
            if (error) {
                return;
            }
            socket.set_option(tcp::no_delay(true));
            std::make_shared<served_connection>(std::move(socket), body_bytes)->read();
            accept();
        });
    }

    std::uint64_t body_bytes;
    asio::io_context io;
    tcp::acceptor acceptor;
    asio::executor_work_guard<asio::io_context::executor_type> guard;
    std::vector<std::jthread> running;
};

bench_server::bench_server(std::size_t threads, std::uint64_t body_bytes)
    : impl_(std::make_unique<impl>(threads, body_bytes))
{
}

bench_server::~bench_server()
{
    impl_->io.stop();
    impl_->running.clear();
}

std::uint16_t bench_server::port() const
{
    return impl_->acceptor.local_endpoint().port();
}

bench_result run_bench_calls(const bench_calls& calls)
{
    bench_result sum;
    std::mutex mutex;
    {
        std::vector<std::jthread> threads;
        for (std::size_t at = 0; at < calls.threads; ++at) {
            threads.emplace_back([&] {
                calling_thread mine(calls, calls.rate / static_cast<double>(calls.threads));
                const auto result = mine.run();
                const std::lock_guard lock(mutex);
                sum.latencies.merge(result.latencies);
                sum.answered += result.answered;
                sum.failed += result.failed;
                sum.took = std::max(sum.took, result.took);
            });
        }
    }
    return sum;
}

std::uint64_t run_bench_download(std::uint16_t port)
{
    asio::io_context io;
    tcp::socket socket(io);
    socket.connect({asio::ip::address_v4::loopback(), port});
    asio::write(socket, asio::buffer(request_text));
    http_message_parser parser(http_side::response, max_head_bytes);
    std::string buffer(read_bytes, '\0');
    std::uint64_t received = 0;
    while (!parser.message_complete()) {
        const auto size = socket.read_some(asio::buffer(buffer));
        std::string_view data{buffer.data(), size};
        while (!data.empty() && !parser.message_complete()) {
            data.remove_prefix(parser.feed(data));
            for (const auto piece : parser.body()) {
                received += piece.size();
            }
        }
    }
    return received;
}

} // namespace sniperock

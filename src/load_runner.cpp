/** @file load_runner.cpp Open-loop load over kept-alive connections. */
#include "edge_router.hpp"
#include "edge_type.hpp"
#include "http_parser.hpp"
#include "http_write.hpp"
#include "load_func.hpp"
#include "random_type.hpp"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/redirect_error.hpp>
#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <charconv>
#include <deque>
#include <iomanip>
#include <random>
#include <sstream>

namespace sniperock {
namespace {

using asio::ip::tcp;

constexpr std::size_t read_bytes = 16'384;
constexpr std::size_t max_head_bytes = 65'536;

/** One call and the time it was meant to be sent at. */
struct intended_call {
    const load_stream* stream;
    local_time at;
    std::uint64_t number;
};

tcp::endpoint parse_endpoint(const std::string& text)
{
    const auto colon = text.rfind(':');
    std::uint16_t port = 0;
    std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
    return {asio::ip::make_address(text.substr(0, colon)), port};
}

/** Everything one run shares; used by one thread. */
class load_run {
public:
    explicit load_run(const load_plan& plan) : plan_(plan), random_(plan.seed) {}

    load_result run()
    {
        for (std::size_t at = 0; at < plan_.connections; ++at) {
            asio::co_spawn(io_, connection(at), asio::detached);
        }
        end_ = boot_clock::now() + plan_.duration;
        for (const auto& stream : plan_.streams) {
            asio::co_spawn(io_, arrivals(stream), asio::detached);
        }
        io_.run();
        return std::move(result_);
    }

private:
    asio::awaitable<void> arrivals(const load_stream& stream)
    {
        ++open_streams_;
        asio::steady_timer timer(io_);
        auto next = boot_clock::now();
        std::exponential_distribution<double> gap(stream.rate);
        while (next < end_) {
            next += std::chrono::duration_cast<nanoseconds>(
                std::chrono::duration<double>{gap(random_)});
            timer.expires_after(next - boot_clock::now());
            co_await timer.async_wait(asio::use_awaitable);
            calls_.push_back({&stream, next, next_number_++});
            wake_one();
        }
        if (--open_streams_ == 0) {
            finished_ = true;
            std::ranges::for_each(idle_, [](asio::steady_timer* waiting) { waiting->cancel(); });
        }
    }

    void wake_one()
    {
        if (!idle_.empty()) {
            idle_.back()->cancel();
            idle_.pop_back();
        }
    }

    /** Waits for a call; empty when the run is over. */
    asio::awaitable<std::optional<intended_call>> next_call()
    {
        asio::steady_timer timer(io_);
        while (calls_.empty()) {
            if (finished_) {
                co_return std::nullopt;
            }
            timer.expires_at(asio::steady_timer::time_point::max());
            idle_.push_back(&timer);
            asio::error_code ignored;
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            std::erase(idle_, &timer);
        }
        auto call = calls_.front();
        calls_.pop_front();
        co_return call;
    }

    asio::awaitable<void> connection(std::size_t number)
    {
        const auto endpoint = parse_endpoint(plan_.targets.at(number % plan_.targets.size()));
        tcp::socket socket(io_);
        std::string buffer(read_bytes, '\0');
        while (const auto call = co_await next_call()) {
            auto& counts = result_[{call->stream->plan, classify(call->stream->method)}];
            ++counts.sent;
            bool usable = false;
            try {
                if (!socket.is_open()) {
                    co_await socket.async_connect(endpoint, asio::use_awaitable);
                    socket.set_option(tcp::no_delay(true));
                }
                usable = co_await exchange(socket, buffer, *call, counts);
            }
            catch (const std::exception&) {
                ++counts.cut_off;
            }
            if (!usable) {
                asio::error_code ignored;
                socket.close(ignored);
            }
        }
    }

    /** Sends one call and reads its answer. @return true if the connection can be used again. */
    asio::awaitable<bool> exchange(tcp::socket& socket, std::string& buffer,
                                   const intended_call& call, load_counts& counts)
    {
        const std::string id = std::to_string(call.number);
        std::string out;
        append_request_line(out, call.stream->method, call.stream->path);
        append_header(out, "Host", call.stream->host);
        append_header(out, edge_header::key, call.stream->key);
        append_header(out, edge_header::timeout, std::to_string(plan_.timeout.count()));
        append_header(out, "X-Request-Id", id);
        if (classify(call.stream->method) != call_class::safe) {
            append_header(out, "Content-Length", "0");
        }
        out += "\r\n";
        co_await asio::async_write(socket, asio::buffer(out), asio::use_awaitable);
        http_message_parser parser(http_side::response, max_head_bytes);
        parser.reset(call.stream->method == "HEAD");
        std::size_t used = 0;
        std::size_t size = 0;
        while (!parser.message_complete()) {
            if (used == size) {
                size = co_await socket.async_read_some(asio::buffer(buffer), asio::use_awaitable);
                used = 0;
            }
            used += parser.feed(std::string_view{buffer}.substr(used, size - used));
        }
        take_answer(parser.head(), id, call, counts);
        co_return parser.head().keep_alive;
    }

    static void take_answer(const http_head& head, const std::string& id, const intended_call& call,
                            load_counts& counts)
    {
        const auto outcome =
            from_name<call_outcome>(head.headers.find(edge_header::outcome).value_or("answered"));
        if (outcome == call_outcome::not_run) {
            ++counts.not_run;
            return;
        }
        if (outcome != call_outcome::answered) {
            ++counts.unknown;
            return;
        }
        if (head.headers.find("X-Request-Id").value_or("") != id) {
            ++counts.crossed;
            return;
        }
        ++counts.answered;
        counts.latencies.push_back(
            std::chrono::duration_cast<microseconds>(boot_clock::now() - call.at));
    }

    const load_plan& plan_;
    random_engine random_;
    asio::io_context io_{1};
    local_time end_;
    std::deque<intended_call> calls_;
    std::vector<asio::steady_timer*> idle_;
    std::uint64_t next_number_ = 1;
    std::size_t open_streams_ = 0;
    bool finished_ = false;
    load_result result_;
};

} // namespace

load_result run_load(const load_plan& plan)
{
    load_run run(plan);
    return run.run();
}

microseconds quantile(std::vector<microseconds> latencies, double share)
{
    if (latencies.empty()) {
        return microseconds{0};
    }
    const auto at = static_cast<std::size_t>(share * static_cast<double>(latencies.size() - 1));
    std::ranges::nth_element(latencies, latencies.begin() + static_cast<std::ptrdiff_t>(at));
    return latencies.at(at);
}

std::string format_result(const load_result& result)
{
    std::ostringstream text;
    text << std::left << std::setw(12) << "plan" << std::setw(16) << "class" << std::right
         << std::setw(8) << "sent" << std::setw(10) << "answered" << std::setw(9) << "not-run"
         << std::setw(9) << "unknown" << std::setw(8) << "cut-off" << std::setw(8) << "crossed"
         << std::setw(10) << "50% ms" << std::setw(10) << "99% ms" << std::setw(10) << "99.9% ms"
         << "\n";
    const auto to_ms = [](microseconds time) { return static_cast<double>(time.count()) / 1000; };
    for (const auto& [row, counts] : result) {
        text << std::left << std::setw(12) << row.first << std::setw(16) << to_name(row.second)
             << std::right << std::setw(8) << counts.sent << std::setw(10) << counts.answered
             << std::setw(9) << counts.not_run << std::setw(9) << counts.unknown << std::setw(8)
             << counts.cut_off << std::setw(8) << counts.crossed << std::fixed
             << std::setprecision(2) << std::setw(10) << to_ms(quantile(counts.latencies, 0.5))
             << std::setw(10) << to_ms(quantile(counts.latencies, 0.99)) << std::setw(10)
             << to_ms(quantile(counts.latencies, 0.999)) << "\n";
    }
    return text.str();
}

} // namespace sniperock

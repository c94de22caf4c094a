/** @file load_runner.cpp Callers that ask the directory, connect, and check each answer. */
#include "load_runner.hpp"

#include "load_caller.hpp"
#include "net_endpoint.hpp"

#include <algorithm>
#include <charconv>

namespace sniperock {
namespace {

/** Longest wait for one directory node. */
constexpr milliseconds directory_limit{1000};

std::optional<double> parse_seconds(std::string_view text)
{
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc{} ? std::optional{value} : std::nullopt;
}

} // namespace

load_runner::load_runner(asio::io_context& io, const wire_dialect& dialect, load_plan plan)
    : io_(io), dialect_(dialect), plan_(std::move(plan)), random_(random_seed()),
      ended_(io.get_executor())
{
}

task<> load_runner::run()
{
    const auto began = boot_clock::now();
    std::exponential_distribution<double> gap_s{plan_.rate};
    std::chrono::duration<double> next{0};
    std::uint64_t number = 0;
    while (next < plan_.duration) {
        const auto due = began + std::chrono::duration_cast<nanoseconds>(next);
        co_await sleep_until(due);
        ++running_;
        start_task(io_.get_executor(), one_request(number++));
        next += std::chrono::duration<double>{gap_s(random_)};
    }
    while (running_ > 0) {
        co_await ended_.wait_for(plan_.deadline);
    }
}

/** One request with its returns after refusals. */
task<> load_runner::one_request(std::uint64_t number)
{
    ++result_.asked;
    const auto began = boot_clock::now();
    const auto until = began + plan_.deadline;
    reply last;
    for (int turn = 0; turn <= plan_.returns; ++turn) {
        const auto id = plan_.id_prefix + "-" + std::to_string(number) + "-" + std::to_string(turn);
        last = co_await ask(id, until - boot_clock::now());
        const bool told_unrun = last.status == http_status::unavailable ||
                                last.status == http_status::too_many_requests;
        if (!told_unrun) {
            break;
        }
        const std::chrono::duration<double> pause{last.return_after_s.value_or(0)};
        co_await sleep_for(std::chrono::duration_cast<nanoseconds>(pause));
    }
    if (last.status == http_status::ok && last.genuine) {
        ++result_.answered;
        const std::chrono::duration<double, std::milli> took = boot_clock::now() - began;
        result_.times_ms.push_back(took.count());
    }
    else if (last.status == http_status::ok) {
        ++result_.invalid;
    }
    else if (last.status == http_status::unavailable ||
             last.status == http_status::too_many_requests) {
        ++result_.refused;
    }
    else {
        ++result_.failed;
    }
    --running_;
    ended_.notify();
}

/** Sends one attempt and reads its answer. */
task<load_runner::reply> load_runner::ask(std::string id, nanoseconds left)
{
    reply answer;
    const auto endpoint = co_await pick_address();
    if (!endpoint || left <= nanoseconds{0}) {
        co_return answer;
    }
    const auto connection = std::make_shared<http_connection>(tcp_socket(io_.get_executor()));
    const scoped_timeout limit(io_.get_executor(), left, [connection] { connection->close(); });
    const bool connected = co_await connection->connect(*endpoint);
    if (!connected) {
        // This address is not tried again: the directory is asked anew.
        known_until_ = {};
        co_return answer;
    }
    const auto left_ms = std::chrono::duration_cast<milliseconds>(left);
    std::string body;
    const caller_request request{plan_.method, plan_.target, plan_.host, id, left_ms};
    const auto bytes = format_caller_request(dialect_, request);
    const auto progress = co_await exchange_whole(connection, bytes, body);
    if (progress == read_progress::complete) {
        const auto& headers = connection->head().headers;
        answer.status = connection->head().status;
        answer.genuine = headers.find(dialect_.attempt_id).value_or("") == id &&
                         headers.find(dialect_.signature).has_value();
        if (const auto after = headers.find("retry-after")) {
            answer.return_after_s = parse_seconds(*after);
        }
    }
    connection->close();
    co_return answer;
}

/** An address at random of those that the directory named. */
task<std::optional<asio::ip::tcp::endpoint>> load_runner::pick_address()
{
    if (boot_clock::now() >= known_until_) {
        for (const auto& directory : plan_.directories) {
            const directory_query query{plan_.host, "", plan_.failure_domain};
            const auto answer =
                co_await ask_directory(io_, dialect_, directory, query, directory_limit);
            if (answer && !answer->addresses.empty()) {
                known_ = *answer;
                known_until_ = boot_clock::now() + answer->keep;
                break;
            }
        }
    }
    if (known_.addresses.empty()) {
        co_return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> place{0, known_.addresses.size() - 1};
    co_return parse_endpoint(known_.addresses.at(place(random_)));
}

} // namespace sniperock

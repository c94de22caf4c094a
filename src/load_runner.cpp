/** @file load_runner.cpp Load generator: callers that query the directory, connect, and check each
 * response. */
#include "load_runner.hpp"

#include "load_caller.hpp"
#include "net_endpoint.hpp"

#include <algorithm>
#include <charconv>

namespace sniperock {
namespace {

/** Timeout for a response of one directory endpoint. */
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
      request_finished_(io.get_executor())
{
}

task<> load_runner::run()
{
    const auto start = boot_clock::now();
    std::exponential_distribution<double> interval_s{plan_.rate};
    std::chrono::duration<double> next{0};
    std::uint64_t number = 0;
    while (next < plan_.duration) {
        const auto due = start + std::chrono::duration_cast<nanoseconds>(next);
        co_await sleep_until(due);
        ++running_;
        start_task(io_.get_executor(), run_request(number++));
        next += std::chrono::duration<double>{interval_s(random_)};
    }
    while (running_ > 0) {
        co_await request_finished_.wait_for(plan_.deadline);
    }
}

/** Runs one request, with retries after refusals. */
task<> load_runner::run_request(std::uint64_t number)
{
    ++result_.requests;
    const auto start = boot_clock::now();
    const auto until = start + plan_.deadline;
    attempt_result last;
    for (int attempt = 0; attempt <= plan_.max_retries; ++attempt) {
        const auto id =
            plan_.id_prefix + "-" + std::to_string(number) + "-" + std::to_string(attempt);
        last = co_await send_attempt(id, until - boot_clock::now());
        const bool refused = last.status == http_status::unavailable ||
                             last.status == http_status::too_many_requests;
        if (!refused) {
            break;
        }
        const std::chrono::duration<double> pause{last.retry_after_s.value_or(0)};
        co_await sleep_for(std::chrono::duration_cast<nanoseconds>(pause));
    }
    if (last.status == http_status::ok && last.verified) {
        ++result_.answered;
        const std::chrono::duration<double, std::milli> elapsed = boot_clock::now() - start;
        result_.times_ms.push_back(elapsed.count());
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
    request_finished_.notify();
}

/** Sends one attempt and reads its response. */
task<load_runner::attempt_result> load_runner::send_attempt(std::string id, nanoseconds time_left)
{
    attempt_result result;
    const auto endpoint = co_await pick_address();
    if (!endpoint || time_left <= nanoseconds{0}) {
        co_return result;
    }
    const auto connection = std::make_shared<http_connection>(tcp_socket(io_.get_executor()));
    const scoped_timeout limit(io_.get_executor(), time_left,
                               [connection] { connection->close(); });
    const bool connected = co_await connection->connect(*endpoint);
    if (!connected) {
        // Forces a new directory query before the next attempt, so that this address is not retried
        // from the cache.
        directory_expiry_ = {};
        co_return result;
    }
    const auto left_ms = std::chrono::duration_cast<milliseconds>(time_left);
    std::string body;
    const load_request request{plan_.method, plan_.target, plan_.host, id, left_ms, {}, plan_.key};
    const auto bytes = format_caller_request(dialect_, request);
    const auto progress = co_await send_and_receive(connection, bytes, body);
    if (progress == read_progress::complete) {
        const auto& headers = connection->head().headers;
        result.status = connection->head().status;
        result.verified = headers.find(dialect_.attempt_id).value_or("") == id &&
                          headers.find(dialect_.signature).has_value();
        if (const auto after = headers.find("retry-after")) {
            result.retry_after_s = parse_seconds(*after);
        }
    }
    connection->close();
    co_return result;
}

/** Picks a random address from the latest directory response. */
task<std::optional<asio::ip::tcp::endpoint>> load_runner::pick_address()
{
    if (boot_clock::now() >= directory_expiry_) {
        for (const auto& directory : plan_.directories) {
            const directory_query query{plan_.host, "", plan_.failure_domain};
            const auto response =
                co_await query_directory(io_, dialect_, directory, query, directory_limit);
            if (response && !response->addresses.empty()) {
                directory_ = *response;
                directory_expiry_ = boot_clock::now() + response->ttl;
                break;
            }
        }
    }
    if (directory_.addresses.empty()) {
        co_return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> index{0, directory_.addresses.size() - 1};
    co_return parse_endpoint(directory_.addresses.at(index(random_)));
}

} // namespace sniperock

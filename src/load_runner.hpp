/** @file load_runner.hpp Load generator: callers that query the directory, connect, and check each
 * response. */
#pragma once

#include "async_func.hpp"
#include "http_connection.hpp"
#include "load_type.hpp"
#include "random_type.hpp"
#include "wire_dialect.hpp"

#include <asio/io_context.hpp>

#include <memory>
#include <optional>
#include <string>

namespace sniperock {

/** Runs one load test. Each attempt uses a connection of its own. */
class load_runner {
public:
    load_runner(asio::io_context& io, const wire_dialect& dialect, load_plan plan);

    /** Generates the load; completes once every request is answered or past its deadline. */
    task<> run();
    [[nodiscard]] const load_result& result() const { return result_; }

private:
    struct attempt_result {
        /** 0 if no complete response was received. */
        int status = 0;
        bool verified = false;
        std::optional<double> retry_after_s;
    };

    task<> run_request(std::uint64_t number);
    task<attempt_result> send_attempt(std::string id, nanoseconds time_left);
    task<std::optional<asio::ip::tcp::endpoint>> pick_address();

    asio::io_context& io_;
    const wire_dialect& dialect_;
    load_plan plan_;
    random_engine random_;
    directory_response directory_;
    local_time directory_expiry_;
    load_result result_;
    std::uint64_t running_ = 0;
    async_signal request_finished_;
};

} // namespace sniperock

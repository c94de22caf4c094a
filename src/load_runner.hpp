/** @file load_runner.hpp Callers that ask the directory, connect, and check each answer. */
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

/** Plays one load. Each request uses a connection of its own. */
class load_runner {
public:
    load_runner(asio::io_context& io, const wire_dialect& dialect, load_plan plan);

    /** Plays the load; ends when each request has its answer or its deadline has passed. */
    task<> run();
    [[nodiscard]] const load_result& result() const { return result_; }

private:
    struct reply {
        /** 0 if no whole answer came. */
        int status = 0;
        bool genuine = false;
        std::optional<double> return_after_s;
    };

    task<> one_request(std::uint64_t number);
    task<reply> ask(std::string id, nanoseconds left);
    task<std::optional<asio::ip::tcp::endpoint>> pick_address();

    asio::io_context& io_;
    const wire_dialect& dialect_;
    load_plan plan_;
    random_engine random_;
    directory_response known_;
    local_time known_until_;
    load_result result_;
    std::uint64_t running_ = 0;
    async_signal ended_;
};

} // namespace sniperock

/** @file load_caller.hpp What every caller does: asks the directory, sends a request, reads all of
 * its answer. */
#pragma once

#include "async_func.hpp"
#include "http_connection.hpp"
#include "wire_dialect.hpp"

#include <asio/io_context.hpp>

#include <memory>
#include <optional>
#include <string>

namespace sniperock {

/** A request as callers write it. */
struct caller_request {
    std::string method = "GET";
    std::string target;
    std::string host;
    std::string id;
    milliseconds deadline{0};
};

/** The bytes of a request without a body. */
std::string format_caller_request(const wire_dialect& dialect, const caller_request& request);

/** Sends @p bytes and reads the answer to its end. @param body takes the answer's body. */
task<read_progress> exchange_whole(std::shared_ptr<http_connection> connection, std::string bytes,
                                   std::string& body);

/** Asks one VM where to connect. @return empty if no readable answer came within @p limit. */
task<std::optional<directory_response>> ask_directory(asio::io_context& io,
                                                      const wire_dialect& dialect,
                                                      asio::ip::tcp::endpoint directory,
                                                      directory_query query, nanoseconds limit);

} // namespace sniperock

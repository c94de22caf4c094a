/** @file load_caller.hpp Functions of a load generator's callers: query the directory, send a
 * request, read its response. */
#pragma once

#include "async_func.hpp"
#include "http_connection.hpp"
#include "wire_dialect.hpp"

#include <asio/io_context.hpp>

#include <memory>
#include <optional>
#include <string>

namespace sniperock {

/** A request of a load generator. */
struct load_request {
    std::string method = "GET";
    std::string target;
    std::string host;
    std::string id;
    milliseconds deadline{0};
    /** Sent by POST requests only. */
    std::string body;
    /** Key of the client account; empty to send none. */
    std::string key;
};

/** Serializes a request. */
std::string format_caller_request(const wire_dialect& dialect, const load_request& request);

/** Sends @p bytes and reads the complete response. @param body receives the response body. */
task<read_progress> send_and_receive(std::shared_ptr<http_connection> connection, std::string bytes,
                                     std::string& body);

/** Queries the directory of one VM. @return empty without a valid response within @p limit. */
task<std::optional<directory_response>> query_directory(asio::io_context& io,
                                                        const wire_dialect& dialect,
                                                        asio::ip::tcp::endpoint directory,
                                                        directory_query query, nanoseconds limit);

} // namespace sniperock

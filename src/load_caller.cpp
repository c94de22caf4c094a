/** @file load_caller.cpp Functions of a load generator's callers. */
#include "load_caller.hpp"

#include "http_write.hpp"

namespace sniperock {

std::string format_caller_request(const wire_dialect& dialect, const load_request& request)
{
    std::string bytes;
    append_request_line(bytes, request.method, request.target);
    append_header(bytes, "Host", request.host);
    append_header(bytes, dialect.attempt_id, request.id);
    append_header(bytes, dialect.deadline_ms, std::to_string(request.deadline.count()));
    if (!request.key.empty()) {
        append_header(bytes, "Authorization",
                      std::string{dialect.account_scheme} + " " + request.key);
    }
    if (request.method == "POST") {
        append_header(bytes, "Content-Length", std::to_string(request.body.size()));
    }
    return bytes + "\r\n" + request.body;
}

task<read_progress> send_and_receive(std::shared_ptr<http_connection> connection, std::string bytes,
                                     std::string& body)
{
    connection->send(bytes, bytes.starts_with("HEAD "));
    auto progress = co_await connection->read_head("", "");
    while (progress == read_progress::incomplete) {
        progress = co_await connection->read_body(body);
    }
    co_return progress;
}

task<std::optional<directory_response>> query_directory(asio::io_context& io,
                                                        const wire_dialect& dialect,
                                                        asio::ip::tcp::endpoint directory,
                                                        directory_query query, nanoseconds limit)
{
    const auto connection = std::make_shared<http_connection>(tcp_socket(io.get_executor()));
    const scoped_timeout guard(io.get_executor(), limit, [connection] { connection->close(); });
    const bool connected = co_await connection->connect(directory);
    if (!connected) {
        co_return std::nullopt;
    }
    std::string request;
    append_request_line(request, "GET", dialect.format_directory_query(query));
    append_header(request, "Host", query.host);
    request += "\r\n";
    std::string body;
    const auto progress = co_await send_and_receive(connection, request, body);
    connection->close();
    if (progress != read_progress::complete) {
        co_return std::nullopt;
    }
    co_return dialect.parse_directory_response(body);
}

} // namespace sniperock

/** @file http_parser_test.cpp What is accepted as one HTTP message. */
#include "http_parser.hpp"

#include <catch2/catch.hpp>

using namespace sniperock;

namespace {

constexpr std::size_t max_head = 1024;

int status_for(const std::string& text)
{
    http_message_parser parser(http_side::request, max_head);
    try {
        std::size_t used = 0;
        while (used < text.size() && !parser.message_complete()) {
            used += parser.feed(std::string_view{text}.substr(used));
        }
    }
    catch (const http_syntax_error& fault) {
        return fault.status();
    }
    return 0;
}

} // namespace

TEST_CASE("a request is read byte by byte as in one piece")
{
    const std::string text = "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc";
    http_message_parser parser(http_side::request, max_head);
    std::string body;
    for (std::size_t at = 0; at < text.size(); ++at) {
        parser.feed(std::string_view{text}.substr(at, 1));
        for (const auto piece : parser.body()) {
            body += piece;
        }
    }
    CHECK(parser.message_complete());
    CHECK(parser.head().method == "POST");
    CHECK(body == "abc");
}

TEST_CASE("messages that can be framed in two ways are refused")
{
    CHECK(status_for(
              "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n") == 400);
    CHECK(status_for("POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd") ==
          400);
    CHECK(status_for("GET / HTTP/1.1\nHost: x\n\n") == 400);
    CHECK(status_for("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nZZ\r\n") == 400);
}

TEST_CASE("a long head is refused with 431")
{
    CHECK(status_for("GET / HTTP/1.1\r\nX: " + std::string(2 * max_head, 'a') + "\r\n\r\n") == 431);
}

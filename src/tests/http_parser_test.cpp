/** @file http_parser_test.cpp What is accepted as one HTTP message. */
#include "http_parser.hpp"

#include <catch2/catch.hpp>

using namespace sniperock;

namespace {

constexpr std::size_t max_head = 1024;

int status_for(const std::string& text)
{
    http_message_parser parser(http_message_kind::request, max_head);
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
    http_message_parser parser(http_message_kind::request, max_head);
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
    const std::string start = "POST / HTTP/1.1\r\nHost: x\r\n";
    CHECK(status_for(start + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n") == 400);
    CHECK(status_for(start + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd") == 400);
    CHECK(status_for("GET / HTTP/1.1\nHost: x\n\n") == 400);
    CHECK(status_for(start + "Transfer-Encoding: chunked\r\n\r\nZZ\r\n") == 400);
}

TEST_CASE("a line feed in a body is no line end, wherever the reads are split")
{
    const std::string text = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\n\na\n";
    for (std::size_t split = 1; split < text.size(); ++split) {
        http_message_parser parser(http_message_kind::request, max_head);
        std::string body;
        for (auto rest :
             {std::string_view{text}.substr(0, split), std::string_view{text}.substr(split)}) {
            while (!rest.empty()) {
                rest.remove_prefix(parser.feed(rest));
                for (const auto piece : parser.body()) {
                    body += piece;
                }
            }
        }
        CHECK(body == "\na\n");
    }
}

TEST_CASE("chunk framing is checked wherever the reads are split")
{
    const std::string head = "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
    const auto refused = [&](const std::string& chunks) {
        http_message_parser parser(http_message_kind::request, max_head);
        parser.feed(head);
        try {
            for (std::size_t at = 0; at < chunks.size() && !parser.message_complete(); ++at) {
                parser.feed(std::string_view{chunks}.substr(at, 1));
            }
        }
        catch (const http_syntax_error&) {
            return true;
        }
        return !parser.message_complete();
    };
    CHECK_FALSE(refused("3\r\na\nb\r\n0\r\n\r\n"));
    CHECK_FALSE(refused("3;name=value\r\nabc\r\n0\r\nTrailer: x\r\n\r\n"));
    CHECK(refused("3\nabc\r\n0\r\n\r\n"));
    CHECK(refused("3\rXabc\r\n0\r\n\r\n"));
    CHECK(refused("3\r\nabc\n0\r\n\r\n"));
    CHECK(refused("3\r\nabcd\r\n0\r\n\r\n"));
    CHECK(refused("3\r\nabc\r\n0\n\n"));
}

TEST_CASE("memory of one message's lines is used again and holds nothing of the last one")
{
    http_message_parser parser(http_message_kind::request, max_head);
    parser.feed("GET /a HTTP/1.1\r\nHost: x\r\nX-Long: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n\r\n");
    REQUIRE(parser.message_complete());
    parser.reset();
    parser.feed("GET /b HTTP/1.1\r\nHost: y\r\nX: b\r\n\r\n");
    CHECK(parser.head().target == "/b");
    REQUIRE(parser.head().headers.lines().size() == 2);
    CHECK(parser.head().headers.find("host") == "y");
    CHECK(parser.head().headers.find("x") == "b");
    CHECK_FALSE(parser.head().headers.find("x-long").has_value());
}

TEST_CASE("a long head is refused with 431")
{
    CHECK(status_for("GET / HTTP/1.1\r\nX: " + std::string(2 * max_head, 'a') + "\r\n\r\n") == 431);
}

/** @file log_queue_test.cpp The bounded log queue, and readers that stop reading. */
#include "clock_type.hpp"
#include "log_queue.hpp"
#include "log_writer.hpp"

#include <catch2/catch.hpp>

#include <array>
#include <string>

#include <unistd.h>

using namespace sniperock;

namespace {

std::string format_dropped(std::uint64_t lines)
{
    return "log_lines_dropped lines=" + std::to_string(lines) + "\n";
}

} // namespace

TEST_CASE("lines that do not fit are dropped and counted")
{
    log_queue queue(10);
    CHECK(queue.add("12345\n"));
    CHECK_FALSE(queue.add("12345\n"));
    CHECK(queue.add("123\n"));
    CHECK(queue.pop_dropped_count() == 1);
    CHECK(queue.pop_dropped_count() == 0);
    CHECK(queue.pop_all() == "12345\n123\n");
    CHECK(queue.add("12345\n"));
}

TEST_CASE("a reader that stops reading does not block the logging threads")
{
    std::array<int, 2> pipe_ends{};
    REQUIRE(::pipe(pipe_ends.data()) == 0);
    {
        log_writer writer(pipe_ends[1], 65'536, format_dropped);
        // Far more lines than the pipe and the queue can hold; there is no reader.
        for (int i = 0; i < 100'000; ++i) {
            writer.write("a line of the log that nobody reads\n");
        }
        SUCCEED("logging went on");
    }
    ::close(pipe_ends[0]);
}

TEST_CASE("a reader that resumes reading receives the number of dropped lines")
{
    std::array<int, 2> pipe_ends{};
    REQUIRE(::pipe(pipe_ends.data()) == 0);
    std::string text;
    {
        log_writer writer(pipe_ends[1], 4096, format_dropped);
        for (int i = 0; i < 10'000; ++i) {
            writer.write("a line of the log\n");
        }
        std::array<char, 65'536> buffer{};
        while (text.find("log_lines_dropped") == std::string::npos) {
            const auto size = ::read(pipe_ends[0], buffer.data(), buffer.size());
            REQUIRE(size > 0);
            text.append(buffer.data(), static_cast<std::size_t>(size));
        }
    }
    CHECK(text.find("lines=") != std::string::npos);
}

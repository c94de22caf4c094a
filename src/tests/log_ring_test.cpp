/** @file log_ring_test.cpp Lines in bounded memory, and readers that stop. */
#include "clock_type.hpp"
#include "log_ring.hpp"
#include "log_writer.hpp"

#include <catch2/catch.hpp>

#include <array>
#include <string>

#include <unistd.h>

using namespace sniperock;

namespace {

std::string tell_dropped(std::uint64_t lines)
{
    return "log_lines_dropped lines=" + std::to_string(lines) + "\n";
}

} // namespace

TEST_CASE("lines that do not fit are dropped and counted")
{
    log_ring ring(10);
    CHECK(ring.add("12345\n"));
    CHECK_FALSE(ring.add("12345\n"));
    CHECK(ring.add("123\n"));
    CHECK(ring.take_dropped() == 1);
    CHECK(ring.take_dropped() == 0);
    CHECK(ring.take() == "12345\n123\n");
    CHECK(ring.add("12345\n"));
}

TEST_CASE("a reader that stops reading holds up nobody who logs")
{
    std::array<int, 2> ends{};
    REQUIRE(::pipe(ends.data()) == 0);
    {
        log_writer writer(ends[1], 65'536, tell_dropped);
        // Far more than the pipe and the ring hold together; nobody reads.
        for (int at = 0; at < 100'000; ++at) {
            writer.write("a line of the log that nobody reads\n");
        }
        SUCCEED("logging went on");
    }
    ::close(ends[0]);
}

TEST_CASE("a reader that reads again is told how many lines were dropped")
{
    std::array<int, 2> ends{};
    REQUIRE(::pipe(ends.data()) == 0);
    std::string text;
    {
        log_writer writer(ends[1], 4096, tell_dropped);
        for (int at = 0; at < 10'000; ++at) {
            writer.write("a line of the log\n");
        }
        std::array<char, 65'536> buffer{};
        while (text.find("log_lines_dropped") == std::string::npos) {
            const auto size = ::read(ends[0], buffer.data(), buffer.size());
            REQUIRE(size > 0);
            text.append(buffer.data(), static_cast<std::size_t>(size));
        }
    }
    CHECK(text.find("lines=") != std::string::npos);
}

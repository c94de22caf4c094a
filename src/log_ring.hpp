/** @file log_ring.hpp Lines that wait to be written, in bounded memory. */
#pragma once

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>

namespace sniperock {

/**
 * A queue of lines with a limit on its bytes. Adding never waits for the reader of the lines: a
 * line that does not fit is dropped and counted.
 */
class log_ring {
public:
    explicit log_ring(std::size_t max_bytes) : max_bytes_(max_bytes) {}

    /** Adds a line. @return false if it was dropped. */
    bool add(std::string line);
    void set_limit(std::size_t max_bytes);
    /** Takes all lines as one text; waits for one. @return empty once closed and empty. */
    std::string take();
    /** Lines dropped since the last call. */
    std::uint64_t take_dropped();
    /** No line waits. */
    [[nodiscard]] bool empty();
    void close();

private:
    std::mutex guard_;
    std::condition_variable filled_;
    std::deque<std::string> lines_;
    std::size_t bytes_ = 0;
    std::size_t max_bytes_;
    std::uint64_t dropped_ = 0;
    bool waiting_ = false;
    bool closed_ = false;
};

} // namespace sniperock

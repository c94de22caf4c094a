/** @file log_queue.hpp Queue of log lines waiting to be written, bounded in bytes. */
#pragma once

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>

namespace sniperock {

/**
 * A queue of lines with a limit on its bytes. Adding a line never blocks on the reader: a line that
 * does not fit is dropped and counted.
 */
class log_queue {
public:
    explicit log_queue(std::size_t max_bytes) : max_bytes_(max_bytes) {}

    /** Adds a line. @return false if it was dropped. */
    bool add(std::string line);
    void set_limit(std::size_t max_bytes);
    /** Removes all lines and returns them as one text; blocks while the queue is empty and open.
     * @return an empty text once the queue is closed and empty. */
    std::string pop_all();
    /** Returns the number of lines dropped since the last call. */
    std::uint64_t pop_dropped_count();
    /** True if no line is queued. */
    [[nodiscard]] bool empty();
    void close();

private:
    std::mutex mutex_;
    std::condition_variable not_empty_;
    std::deque<std::string> lines_;
    std::size_t bytes_ = 0;
    std::size_t max_bytes_;
    std::uint64_t dropped_ = 0;
    bool reader_waiting_ = false;
    bool closed_ = false;
};

} // namespace sniperock

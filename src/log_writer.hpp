/** @file log_writer.hpp Writes log lines from a separate thread. */
#pragma once

#include "log_queue.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace sniperock {

/**
 * Writes lines to a descriptor that may block indefinitely, without blocking the logging threads.
 * The writer thread is not joined, as a reader that has stopped must not prevent the process from
 * exiting.
 */
class log_writer {
public:
    /** @param format_dropped formats the line that reports the number of dropped lines. */
    log_writer(int descriptor, std::size_t max_bytes,
               std::function<std::string(std::uint64_t)> format_dropped);
    ~log_writer();
    log_writer(const log_writer&) = delete;
    log_writer& operator=(const log_writer&) = delete;

    /** Queues a line; @p line must end with a line break. */
    void write(std::string line);
    void set_limit(std::size_t max_bytes) { queue_->set_limit(max_bytes); }

private:
    std::shared_ptr<log_queue> queue_;
};

} // namespace sniperock

/** @file log_writer.hpp Writes log lines on a thread of its own. */
#pragma once

#include "log_ring.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace sniperock {

/**
 * Writes to a descriptor that may block for ever without holding up whoever logs. The thread is
 * not joined: a reader that has stopped must not keep the process from ending.
 */
class log_writer {
public:
    /** @param tell_dropped makes the line that tells how many lines were dropped. */
    log_writer(int descriptor, std::size_t max_bytes,
               std::function<std::string(std::uint64_t)> tell_dropped);
    ~log_writer();
    log_writer(const log_writer&) = delete;
    log_writer& operator=(const log_writer&) = delete;

    /** Queues a line; @p line ends with a line break. */
    void write(std::string line);
    void set_limit(std::size_t max_bytes) { ring_->set_limit(max_bytes); }

private:
    std::shared_ptr<log_ring> ring_;
};

} // namespace sniperock

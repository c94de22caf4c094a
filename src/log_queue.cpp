/** @file log_queue.cpp Queue of log lines waiting to be written, bounded in bytes. */
#include "log_queue.hpp"

#include <utility>

namespace sniperock {

bool log_queue::add(std::string line)
{
    const std::lock_guard lock(mutex_);
    if (bytes_ + line.size() > max_bytes_) {
        ++dropped_;
        return false;
    }
    bytes_ += line.size();
    lines_.push_back(std::move(line));
    if (reader_waiting_) {
        reader_waiting_ = false;
        not_empty_.notify_one();
    }
    return true;
}

void log_queue::set_limit(std::size_t max_bytes)
{
    const std::lock_guard lock(mutex_);
    max_bytes_ = max_bytes;
}

std::string log_queue::pop_all()
{
    std::unique_lock lock(mutex_);
    while (lines_.empty() && !closed_) {
        reader_waiting_ = true;
        not_empty_.wait(lock);
    }
    std::string text;
    text.reserve(bytes_);
    for (const auto& line : lines_) {
        text += line;
    }
    lines_.clear();
    bytes_ = 0;
    return text;
}

std::uint64_t log_queue::pop_dropped_count()
{
    const std::lock_guard lock(mutex_);
    return std::exchange(dropped_, 0);
}

bool log_queue::empty()
{
    const std::lock_guard lock(mutex_);
    return lines_.empty();
}

void log_queue::close()
{
    const std::lock_guard lock(mutex_);
    closed_ = true;
    not_empty_.notify_one();
}

} // namespace sniperock

/** @file log_ring.cpp Lines that wait to be written, in bounded memory. */
#include "log_ring.hpp"

#include <utility>

namespace sniperock {

bool log_ring::add(std::string line)
{
    const std::lock_guard lock(guard_);
    if (bytes_ + line.size() > max_bytes_) {
        ++dropped_;
        return false;
    }
    bytes_ += line.size();
    lines_.push_back(std::move(line));
    if (waiting_) {
        waiting_ = false;
        filled_.notify_one();
    }
    return true;
}

void log_ring::set_limit(std::size_t max_bytes)
{
    const std::lock_guard lock(guard_);
    max_bytes_ = max_bytes;
}

std::string log_ring::take()
{
    std::unique_lock lock(guard_);
    while (lines_.empty() && !closed_) {
        waiting_ = true;
        filled_.wait(lock);
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

std::uint64_t log_ring::take_dropped()
{
    const std::lock_guard lock(guard_);
    return std::exchange(dropped_, 0);
}

bool log_ring::empty()
{
    const std::lock_guard lock(guard_);
    return lines_.empty();
}

void log_ring::close()
{
    const std::lock_guard lock(guard_);
    closed_ = true;
    filled_.notify_one();
}

} // namespace sniperock

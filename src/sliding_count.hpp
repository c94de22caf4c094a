/** @file sliding_count.hpp Counts events in a window that slides with time. */
#pragma once

#include "clock_type.hpp"

#include <cstddef>
#include <deque>

namespace sniperock {

/** The times of the events of the last window. */
class sliding_count {
public:
    explicit sliding_count(nanoseconds window) : window_(window) {}

    /** Counts an event; those that have left the window by then are forgotten. */
    void add(local_time now)
    {
        forget(now);
        times_.push_back(now);
    }
    /** Events whose times are held. */
    [[nodiscard]] std::size_t held() const { return times_.size(); }
    /** Events in the window that ends at @p now. */
    [[nodiscard]] std::size_t count(local_time now)
    {
        forget(now);
        return times_.size();
    }
    /** No event is in the window that ends at @p now. */
    [[nodiscard]] bool empty(local_time now) const
    {
        return times_.empty() || times_.back() + window_ <= now;
    }

private:
    void forget(local_time now)
    {
        while (!times_.empty() && times_.front() + window_ <= now) {
            times_.pop_front();
        }
    }

    nanoseconds window_;
    std::deque<local_time> times_;
};

} // namespace sniperock

/** @file sliding_count.hpp Counts events in a sliding time window. */
#pragma once

#include "clock_type.hpp"

#include <algorithm>
#include <cstddef>
#include <deque>

namespace sniperock {

/** Number of events in a sliding window; stores the time of each. */
class sliding_count {
public:
    explicit sliding_count(nanoseconds window) : window_(window) {}

    /** Adds an event and drops those that have left the window. */
    void add(local_time now)
    {
        drop_expired(now);
        times_.push_back(now);
    }
    /** Number of events whose times are stored. */
    [[nodiscard]] std::size_t stored() const { return times_.size(); }
    /** Number of events in the window that ends at @p now. */
    [[nodiscard]] std::size_t count(local_time now)
    {
        drop_expired(now);
        return times_.size();
    }
    /** Number of events after @p from, which is not before the start of the window. */
    [[nodiscard]] std::size_t count_after(local_time from, local_time now)
    {
        drop_expired(now);
        return static_cast<std::size_t>(times_.end() - std::ranges::upper_bound(times_, from));
    }
    /** True if no event is in the window that ends at @p now. */
    [[nodiscard]] bool empty(local_time now) const
    {
        return times_.empty() || times_.back() + window_ <= now;
    }

private:
    void drop_expired(local_time now)
    {
        while (!times_.empty() && times_.front() + window_ <= now) {
            times_.pop_front();
        }
    }

    nanoseconds window_;
    std::deque<local_time> times_;
};

} // namespace sniperock

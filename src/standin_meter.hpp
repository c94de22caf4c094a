/** @file standin_meter.hpp Counts calls and their rate, and refuses those above a limit. */
#pragma once

#include "clock_type.hpp"

#include <algorithm>
#include <cstdint>

namespace sniperock {

/** Counts one kind of call: in all, and most in any whole second. The caller serialises access. */
class call_meter {
public:
    void add(local_time now)
    {
        const auto second = std::chrono::floor<seconds>(now.time_since_epoch());
        in_second_ = second == second_ ? in_second_ + 1 : 1;
        second_ = second;
        peak_ = std::max(peak_, in_second_);
        ++total_;
    }
    [[nodiscard]] std::uint64_t total() const { return total_; }
    /** Most calls in one second so far. */
    [[nodiscard]] std::uint64_t peak() const { return peak_; }
    /** Calls in the second of @p now. */
    [[nodiscard]] std::uint64_t rate(local_time now) const
    {
        return std::chrono::floor<seconds>(now.time_since_epoch()) == second_ ? in_second_ : 0;
    }

private:
    seconds second_{-1};
    std::uint64_t in_second_ = 0;
    std::uint64_t peak_ = 0;
    std::uint64_t total_ = 0;
};

} // namespace sniperock

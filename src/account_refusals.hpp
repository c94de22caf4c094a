/** @file account_refusals.hpp Counts requests refused because of their account, for few log lines.
 */
#pragma once

#include "clock_type.hpp"

#include <cstddef>
#include <optional>
#include <utility>

namespace sniperock {

/** Counts the requests that were refused for want of an account, or of its quota. They come in any
 * number, and one line a second tells as much as one for each. */
class account_refusals {
public:
    /** Counts a request. @return the number since the last line if one is due now. */
    std::optional<std::size_t> record(local_time now)
    {
        ++unreported_;
        if (last_line_ && now - *last_line_ < line_interval) {
            return std::nullopt;
        }
        last_line_ = now;
        return std::exchange(unreported_, 0);
    }

private:
    static constexpr seconds line_interval{1};

    std::size_t unreported_ = 0;
    std::optional<local_time> last_line_;
};

} // namespace sniperock

/** @file load_report.cpp Sums up what callers got. */
#include "load_type.hpp"

#include <algorithm>
#include <sstream>

namespace sniperock {

double quantile_ms(const load_result& result, double quantile)
{
    if (result.times_ms.empty()) {
        return 0;
    }
    auto times = result.times_ms;
    const auto last = static_cast<double>(times.size() - 1);
    const auto place = times.begin() + static_cast<std::ptrdiff_t>(last * quantile);
    std::ranges::nth_element(times, place);
    return *place;
}

std::string format_load(const load_result& result)
{
    constexpr double median = 0.5;
    constexpr double tail = 0.99;
    std::ostringstream line;
    line << "asked " << result.asked << ", answered " << result.answered << ", refused "
         << result.refused << ", failed " << result.failed << ", spoiled " << result.invalid
         << ", median " << quantile_ms(result, median) << " ms, 99 in 100 below "
         << quantile_ms(result, tail) << " ms";
    return line.str();
}

} // namespace sniperock

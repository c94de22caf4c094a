/** @file load_report.cpp Summary of the results of a load test. */
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
    const auto position = times.begin() + static_cast<std::ptrdiff_t>(last * quantile);
    std::ranges::nth_element(times, position);
    return *position;
}

std::string format_load(const load_result& result)
{
    constexpr double median = 0.5;
    constexpr double tail = 0.99;
    std::ostringstream line;
    line << "requests " << result.requests << ", answered " << result.answered << ", refused "
         << result.refused << ", failed " << result.failed << ", invalid " << result.invalid
         << ", median " << quantile_ms(result, median) << " ms, 99th percentile "
         << quantile_ms(result, tail) << " ms";
    return line.str();
}

} // namespace sniperock

/** @file choice_distance.hpp Measures how far other failure domains are. */
#pragma once

#include "clock_type.hpp"

#include <chrono>
#include <map>
#include <string>
#include <string_view>

namespace sniperock {

/**
 * Moving averages of the time that probes take, per failure domain. Upstreams need the same time
 * for a probe everywhere, so that the difference between two domains is the one in their round
 * trips.
 */
class domain_distances {
public:
    /** Adds the time that the answer to a probe of an upstream in @p domain took. */
    void record(std::string_view domain, nanoseconds took);
    /** Extra round-trip time of a request to @p other instead of @p home, in ms; at least 0. The
     * usual one of a region while one of them has not been measured. */
    [[nodiscard]] double between_ms(std::string_view home, std::string_view other) const;

private:
    /** In ms, by failure domain. */
    std::map<std::string, double, std::less<>> averages_;
};

} // namespace sniperock

/** @file load_histogram.hpp Latencies in buckets of equal relative width, in bounded memory. */
#pragma once

#include "clock_type.hpp"

#include <cstdint>
#include <vector>

namespace sniperock {

/** Counts latencies from 1 us to 10 minutes to within one part in a hundred. */
class latency_histogram {
public:
    latency_histogram();

    void add(microseconds latency);
    void merge(const latency_histogram& other);
    [[nodiscard]] std::uint64_t count() const { return count_; }
    /** Upper end of the bucket that @p share (0 to 1) of the latencies do not exceed, at most the
     * longest latency; 0 if there are none. */
    [[nodiscard]] microseconds quantile(double share) const;
    [[nodiscard]] microseconds longest() const { return longest_; }

private:
    std::vector<std::uint64_t> buckets_;
    std::uint64_t count_ = 0;
    microseconds longest_{0};
};

} // namespace sniperock

/** @file load_histogram.cpp Latencies in buckets of equal relative width, by Boost.Histogram's
 * axis.
 */
#include "load_histogram.hpp"

#include <boost/histogram/axis/regular.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace sniperock {
namespace {

using log_axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

constexpr unsigned bucket_count = 2048;
constexpr double shortest_us = 1.0;
constexpr double longest_us = 600e6;

const log_axis& axis()
{
    static const log_axis instance(bucket_count, shortest_us, longest_us);
    return instance;
}

} // namespace

latency_histogram::latency_histogram() : buckets_(bucket_count, 0) {}

void latency_histogram::add(microseconds latency)
{
    const int index = axis().index(std::max(1.0, static_cast<double>(latency.count())));
    ++buckets_.at(static_cast<std::size_t>(std::clamp<int>(index, 0, bucket_count - 1)));
    ++count_;
    longest_ = std::max(longest_, latency);
}

void latency_histogram::merge(const latency_histogram& other)
{
    std::ranges::transform(buckets_, other.buckets_, buckets_.begin(), std::plus<>{});
    count_ += other.count_;
    longest_ = std::max(longest_, other.longest_);
}

microseconds latency_histogram::quantile(double share) const
{
    if (count_ == 0) {
        return microseconds{0};
    }
    const auto wanted = std::max<std::uint64_t>(
        1, static_cast<std::uint64_t>(std::ceil(share * static_cast<double>(count_))));
    std::uint64_t seen = 0;
    const auto found = std::ranges::find_if(buckets_, [&](std::uint64_t count) {
        seen += count;
        return seen >= wanted;
    });
    const auto index = static_cast<double>(found - buckets_.begin());
    const microseconds upper{static_cast<std::int64_t>(std::ceil(axis().value(index + 1)))};
    return std::min(upper, longest_);
}

} // namespace sniperock

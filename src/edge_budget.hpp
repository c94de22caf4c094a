/** @file edge_budget.hpp Bounds extra attempts to a share of the calls, and learns when a call is
 * slow. */
#pragma once

#include "clock_type.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace sniperock {

/**
 * Extra attempts that the calls made so far have earned. Used by one thread.
 */
class attempt_budget {
public:
    /**
     * @param ratio extra attempts that one call earns, from 0 to 1.
     * @param burst most extra attempts that are saved up; also what it starts with.
     */
    attempt_budget(double ratio, double burst) : ratio_(ratio), burst_(burst), saved_(burst) {}

    /** Earns the share of one call. */
    void earn() { saved_ = std::min(burst_, saved_ + ratio_); }
    /** Spends one extra attempt. @return false if none is left. */
    bool spend()
    {
        if (saved_ < 1.0) {
            return false;
        }
        saved_ -= 1.0;
        return true;
    }

private:
    double ratio_;
    double burst_;
    double saved_;
};

/**
 * Follows a high quantile of a service's latency in constant memory: each sample above the
 * estimate lifts it by far more than each sample below lowers it. Used by one thread.
 */
class latency_quantile {
public:
    /** @param quantile share of the samples below the estimate, between 0 and 1. */
    explicit latency_quantile(double quantile) : quantile_(quantile) {}

    /** Takes one sample in. */
    void add(nanoseconds sample)
    {
        const auto value = static_cast<double>(sample.count());
        ++samples_;
        if (samples_ == 1) {
            estimate_ = value;
            return;
        }
        constexpr double step = 0.05;
        estimate_ *= value > estimate_ ? 1.0 + step * quantile_ : 1.0 - step * (1.0 - quantile_);
    }
    /** The estimate; empty until enough samples were seen. */
    [[nodiscard]] std::optional<nanoseconds> value() const
    {
        constexpr std::uint64_t least_samples = 100;
        if (samples_ < least_samples) {
            return std::nullopt;
        }
        return nanoseconds{static_cast<nanoseconds::rep>(estimate_)};
    }

private:
    double quantile_;
    double estimate_ = 0;
    std::uint64_t samples_ = 0;
};

} // namespace sniperock

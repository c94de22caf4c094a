/** @file load_arrivals.hpp When the calls of a stream are meant to be sent. */
#pragma once

#include "load_type.hpp"
#include "random_type.hpp"

namespace sniperock {

/** Yields the intended send times of one stream, counted from the start of the run. */
class load_arrivals {
public:
    /**
     * @param share part of the stream's rate that this instance yields, 0 to 1.
     * @param phase part of the first gap that has passed already; for equal gaps.
     */
    load_arrivals(const load_stream& stream, double share, double phase, std::uint64_t seed);

    /** The next intended send time; never decreases. */
    nanoseconds next();

private:
    /** Rate factor in force at @p at. */
    [[nodiscard]] double factor_at(nanoseconds at) const;
    /** The first step after @p at; empty if there is none. */
    [[nodiscard]] const rate_step* step_after(nanoseconds at) const;

    load_stream stream_;
    double rate_;
    random_engine random_;
    nanoseconds now_{0};
    double first_gap_left_;
};

} // namespace sniperock

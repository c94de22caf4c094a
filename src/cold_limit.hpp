/** @file cold_limit.hpp How many calls a server bears at a time, learned from what it shows. */
#pragma once

#include "clock_type.hpp"
#include "dispatch_type.hpp"

#include <cstdint>
#include <optional>

namespace sniperock {

/** What one answer showed of a server. */
struct cold_evidence {
    nanoseconds latency{0};
    /** Normal latency of the server's warm peers; 0 if unknown. */
    nanoseconds peer_latency{0};
    /** The phase that the answer's report names. */
    std::optional<server_phase> phase;
};

/**
 * Concurrency limit of one server. It starts at the cold limit, rises by one slot for each run of
 * normal answers, and falls back to the cold limit at the first sign of cold. Pure: time comes in.
 */
class cold_limit {
public:
    /** @param slots limit when warm. @param cold_slots limit when cold; both from 1. */
    cold_limit(std::uint32_t slots, std::uint32_t cold_slots, local_time now);

    /** Calls that may be in flight. */
    [[nodiscard]] std::uint32_t current() const { return current_; }
    [[nodiscard]] bool is_warm() const { return current_ == slots_; }
    /** Normal latency while warm; 0 until learned. */
    [[nodiscard]] nanoseconds baseline() const;
    /** Takes in a whole answer. @return true if it cut the limit. */
    bool on_answer(const cold_evidence& seen, local_time now);
    /** Falls back to the cold limit. @return true if the limit was above it. */
    bool cut(local_time now);
    /** Takes changed limits over; a raised limit has to be earned. */
    void resize(std::uint32_t slots, std::uint32_t cold_slots);
    /** Starts at a limit that a former owner learned. */
    void restore(std::uint32_t limit);

private:
    [[nodiscard]] bool out_of_line(const cold_evidence& seen) const;
    [[nodiscard]] bool normal(const cold_evidence& seen) const;
    void learn(nanoseconds latency);

    std::uint32_t slots_;
    std::uint32_t cold_slots_;
    std::uint32_t current_;
    local_time raised_;
    std::uint32_t normal_answers_ = 0;
    double baseline_ns_ = 0;
    std::uint32_t learned_ = 0;
    double recent_ns_ = 0;
};

} // namespace sniperock

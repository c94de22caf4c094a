/** @file cold_limit.cpp Ramp and cut of a server's concurrency limit. */
#include "cold_limit.hpp"

#include <algorithm>

namespace sniperock {
namespace {

/** Normal answers that earn one more slot when the server reports itself warm. */
constexpr std::uint32_t reported_answers = 6;
/** The same without a report. */
constexpr std::uint32_t unreported_answers = 16;
constexpr milliseconds reported_step{100};
constexpr milliseconds unreported_step{500};
/** A single answer this many times slower than normal is a sign of cold. */
constexpr double sudden_factor = 10;
/** So is a recent average this many times slower. */
constexpr double sustained_factor = 3;
/** An answer up to this many times slower than normal counts towards the ramp. */
constexpr double normal_factor = 4;
constexpr double baseline_weight = 1.0 / 64;
/** Answers that a baseline needs before it is trusted. */
constexpr std::uint32_t answers_to_learn = 32;
constexpr double recent_weight = 1.0 / 8;

double count_of(nanoseconds time)
{
    return static_cast<double>(time.count());
}

} // namespace

cold_limit::cold_limit(std::uint32_t slots, std::uint32_t cold_slots, local_time now)
    : slots_(std::max(slots, 1U)), cold_slots_(std::clamp(cold_slots, 1U, slots_)),
      current_(cold_slots_), raised_(now)
{
}

nanoseconds cold_limit::baseline() const
{
    const bool trusted = learned_ >= answers_to_learn;
    return nanoseconds{trusted ? static_cast<std::int64_t>(baseline_ns_) : 0};
}

bool cold_limit::out_of_line(const cold_evidence& seen) const
{
    if (baseline() <= nanoseconds{0}) {
        return false;
    }
    // Peers that became slow as well show a heavier load, not a cold server.
    const double usual = std::max(baseline_ns_, count_of(seen.peer_latency));
    return count_of(seen.latency) > usual * sudden_factor || recent_ns_ > usual * sustained_factor;
}

bool cold_limit::normal(const cold_evidence& seen) const
{
    const double usual = count_of(std::max(baseline(), seen.peer_latency));
    return usual <= 0 || count_of(seen.latency) <= usual * normal_factor;
}

void cold_limit::learn(nanoseconds latency)
{
    learned_ = std::min(learned_ + 1, answers_to_learn * 2);
    const double weight = std::max(1.0 / learned_, baseline_weight);
    baseline_ns_ += (count_of(latency) - baseline_ns_) * weight;
}

bool cold_limit::on_answer(const cold_evidence& seen, local_time now)
{
    const double value = count_of(seen.latency);
    recent_ns_ = recent_ns_ <= 0 ? value : recent_ns_ + (value - recent_ns_) * recent_weight;
    if (seen.phase == server_phase::cold || out_of_line(seen)) {
        return cut(now);
    }
    if (!normal(seen)) {
        normal_answers_ = 0;
        return false;
    }
    if (is_warm()) {
        learn(seen.latency);
        return false;
    }
    ++normal_answers_;
    const bool reported = seen.phase == server_phase::warm;
    const auto answers = reported ? reported_answers : unreported_answers;
    const nanoseconds step = reported ? reported_step : unreported_step;
    if (normal_answers_ >= answers && now - raised_ >= step) {
        ++current_;
        normal_answers_ = 0;
        raised_ = now;
    }
    return false;
}

bool cold_limit::cut(local_time now)
{
    const bool above = current_ > cold_slots_;
    current_ = cold_slots_;
    normal_answers_ = 0;
    recent_ns_ = 0;
    raised_ = now;
    return above;
}

void cold_limit::resize(std::uint32_t slots, std::uint32_t cold_slots)
{
    slots_ = std::max(slots, 1U);
    cold_slots_ = std::clamp(cold_slots, 1U, slots_);
    current_ = std::clamp(current_, cold_slots_, slots_);
}

void cold_limit::restore(std::uint32_t limit)
{
    current_ = std::clamp(limit, cold_slots_, slots_);
}

} // namespace sniperock

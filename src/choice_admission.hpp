/** @file choice_admission.hpp Decides whether a request takes the best upstream found, looks again,
 * or is refused. */
#pragma once

#include "clock_type.hpp"

#include <optional>

namespace sniperock {

/** What the decision is made on. */
struct admission_input {
    /** Time since the request arrived. */
    nanoseconds waited{0};
    /** Time within which its answer has its full worth. */
    milliseconds target{0};
    /** Expected time at the best upstream with a free slot; empty if none has one. */
    std::optional<double> best_ms;
    /** How long it looks for a free slot, as a part of the target. */
    double wait_share = 0;
    /** How long it looks for an upstream that answers in time while only slower ones are free. */
    double search_share = 0;
};

enum class admission { accept, search_again, refuse };

/**
 * An upstream that will answer in time is taken at once. While only slower ones are free, the
 * request looks on, since load shifts within milliseconds; then it is refused and may come back,
 * for a late answer is worth little to the caller and its slot is one that others need in time.
 * Without any free slot it is refused early, so that it can come back in time.
 */
admission decide_admission(const admission_input& input);

} // namespace sniperock

/** @file choice_admission.cpp Decides whether a request takes the best upstream found, looks again,
 * or is refused. */
#include "choice_admission.hpp"

namespace sniperock {

admission decide_admission(const admission_input& input)
{
    using fractional_ms = std::chrono::duration<double, std::milli>;
    const fractional_ms waited = input.waited;
    const fractional_ms target = input.target;
    if (!input.best_ms) {
        return waited < target * input.wait_share ? admission::search_again : admission::refuse;
    }
    const bool in_time = waited + fractional_ms{*input.best_ms} <= target;
    if (in_time) {
        return admission::accept;
    }
    return waited < target * input.search_share ? admission::search_again : admission::refuse;
}

} // namespace sniperock

/** @file choice_admission.cpp Decides whether a request accepts the best upstream found, searches
 * again or is refused. */
#include "choice_admission.hpp"

namespace sniperock {

admission decide_admission(const admission_input& input)
{
    using fractional_ms = std::chrono::duration<double, std::milli>;
    const fractional_ms elapsed = input.elapsed;
    const fractional_ms target = input.target_latency;
    if (!input.best_ms) {
        return elapsed < target * input.wait_share ? admission::search_again : admission::refuse;
    }
    const bool in_time = elapsed + fractional_ms{*input.best_ms} <= target;
    if (in_time) {
        return admission::accept;
    }
    return elapsed < target * input.search_share ? admission::search_again : admission::refuse;
}

} // namespace sniperock

/** @file entry_leaving.cpp Phases of the graceful shutdown of an entry process. */
#include "entry_leaving.hpp"

#include <algorithm>

namespace sniperock {
namespace {

/** Fraction of the grace period during which a draining VM accepts new connections. Callers cache
 * directory answers for 2 s, some for 6 s; with a grace period of 6 s, most have queried the
 * directory again by the end of this fraction. */
constexpr double accept_fraction = 0.65;
/** Fraction of the grace period at which the requests that are still in flight are ended. */
constexpr double end_fraction = 0.97;
/** Fraction at which the process exits although answers are not delivered yet. */
constexpr double exit_fraction = 0.985;
/** Every request that arrives before this fraction of the grace period, at most for this time, is
 * accepted: nearly all take much less than the time that is left, and to refuse those whose limit
 * is longer would refuse most. */
constexpr double accept_all_fraction = 0.5;
constexpr milliseconds max_accept_all{3000};

milliseconds part_of(milliseconds grace, double fraction)
{
    return std::chrono::duration_cast<milliseconds>(grace * fraction);
}

} // namespace

drain_phase drain_phase_at(nanoseconds elapsed, milliseconds grace, std::size_t busy)
{
    if (elapsed < grace * accept_fraction) {
        return drain_phase::accepting;
    }
    if (busy == 0 || elapsed >= grace * exit_fraction) {
        return drain_phase::done;
    }
    return elapsed < grace * end_fraction ? drain_phase::finishing : drain_phase::ending;
}

leaving_times leaving_times_of(local_time begin, milliseconds grace)
{
    return {begin + std::min(part_of(grace, accept_all_fraction), max_accept_all),
            begin + part_of(grace, end_fraction)};
}

bool may_accept(const std::optional<leaving_times>& leaving, local_time now, local_time deadline)
{
    return !leaving || now < leaving->accepts_all_until || deadline <= leaving->ends_at;
}

} // namespace sniperock

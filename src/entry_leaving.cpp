/** @file entry_leaving.cpp Phases of the graceful shutdown of an entry process. */
#include "entry_leaving.hpp"

namespace sniperock {
namespace {

/** Fraction of the grace period during which a draining VM accepts new connections. Callers cache
 * directory answers for 2 s, some for 6 s; with a grace period of 6 s, most have queried the
 * directory again by the end of this fraction. */
constexpr double accept_fraction = 0.65;
/** Fraction of the grace period after which requests that are still running are aborted; the rest
 * is reserved for the exit of the process. */
constexpr double stop_fraction = 0.85;

} // namespace

drain_phase drain_phase_at(nanoseconds elapsed, milliseconds grace, std::size_t busy)
{
    if (elapsed < grace * accept_fraction) {
        return drain_phase::accepting;
    }
    const bool may_finish = elapsed < grace * stop_fraction;
    return busy > 0 && may_finish ? drain_phase::finishing : drain_phase::done;
}

} // namespace sniperock

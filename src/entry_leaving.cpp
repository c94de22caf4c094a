/** @file entry_leaving.cpp What a leaving VM still does. */
#include "entry_leaving.hpp"

namespace sniperock {
namespace {

/** A leaving VM takes new connections for this part of its grace: with 6 s of grace and answers
 * that callers keep for 2 s, some for 6, most have asked again by then. */
constexpr double accept_part = 0.65;
/** After this part of the grace it ends whatever still runs; the rest is for its own end. */
constexpr double stop_part = 0.85;

} // namespace

leaving_step step_of_leaving(nanoseconds since, milliseconds grace, std::size_t busy)
{
    if (since < grace * accept_part) {
        return leaving_step::accepting;
    }
    const bool may_finish = since < grace * stop_part;
    return busy > 0 && may_finish ? leaving_step::finishing : leaving_step::over;
}

} // namespace sniperock

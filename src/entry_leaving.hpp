/** @file entry_leaving.hpp Phases of the graceful shutdown of an entry process. */
#pragma once

#include "clock_type.hpp"

#include <cstddef>
#include <optional>

namespace sniperock {

/** The phases of a graceful shutdown, in order. */
enum class drain_phase {
    /** Still accepts connections, as callers cache directory answers for some seconds. */
    accepting,
    /** Accepts no more connections; completes the requests in flight. */
    finishing,
    /** Answers the requests that are still in flight, and delivers the answers. */
    ending,
    /** The process exits. */
    done,
};

/**
 * Returns the phase of a VM that is shutting down. What is in flight in the last phase is answered
 * without an upstream.
 * @param elapsed time since the stop signal.
 * @param grace time after the stop signal at which the process may be killed.
 * @param busy number of connections with an unanswered request.
 */
drain_phase drain_phase_at(nanoseconds elapsed, milliseconds grace, std::size_t busy);

/** Which requests a VM that is shutting down accepts. */
struct leaving_times {
    /** Until then every request is accepted. */
    local_time accepts_all_until;
    /** Later requests are accepted if their deadline does not pass this time, at which those in
     * flight are ended. */
    local_time ends_at;
};

/** The times of a graceful shutdown. @param grace as for drain_phase_at(). */
leaving_times leaving_times_of(local_time begin, milliseconds grace);

/** Whether a request is certain to be answered before the process exits, or comes so early that
 * this is very likely. @param leaving empty if the VM is not shutting down. */
bool may_accept(const std::optional<leaving_times>& leaving, local_time now, local_time deadline);

} // namespace sniperock

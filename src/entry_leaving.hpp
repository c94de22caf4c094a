/** @file entry_leaving.hpp Phases of the graceful shutdown of an entry process. */
#pragma once

#include "clock_type.hpp"

#include <cstddef>

namespace sniperock {

/** The phases of a graceful shutdown, in order. */
enum class drain_phase {
    /** Still accepts connections, as callers cache directory answers for some seconds. */
    accepting,
    /** Accepts no more connections; completes the requests in flight. */
    finishing,
    /** The process exits. */
    done,
};

/**
 * Returns the phase of a VM that is shutting down.
 * @param elapsed time since the stop signal.
 * @param grace time after the stop signal at which the process may be killed.
 * @param busy number of connections with an unanswered request.
 */
drain_phase drain_phase_at(nanoseconds elapsed, milliseconds grace, std::size_t busy);

} // namespace sniperock

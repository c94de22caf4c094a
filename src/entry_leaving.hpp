/** @file entry_leaving.hpp What a leaving VM still does. */
#pragma once

#include "clock_type.hpp"

#include <cstddef>

namespace sniperock {

/** The steps of leaving, in their order. */
enum class leaving_step {
    /** Takes new connections: callers keep directory answers for some seconds. */
    accepting,
    /** Answers what it has been asked, and takes no more connections. */
    finishing,
    /** The process ends. */
    over,
};

/**
 * The step of a VM that was told to stop.
 * @param since how long ago.
 * @param grace after which the process may be killed.
 * @param busy connections with a request that waits for its answer.
 */
leaving_step step_of_leaving(nanoseconds since, milliseconds grace, std::size_t busy);

} // namespace sniperock

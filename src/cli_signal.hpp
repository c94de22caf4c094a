/** @file cli_signal.hpp Waits for the signal that ends a process. */
#pragma once

namespace sniperock {

/** Blocks until SIGTERM or SIGINT. */
void wait_for_signal();

} // namespace sniperock

/** @file demo_func.hpp The whole system in one process. */
#pragma once

namespace sniperock {

/** Runs the demonstration. @return 0 if every promise held, 1 if not. */
int run_demo();

} // namespace sniperock

/** @file bench_edge.hpp Measures the callers' path against direct calls to the same server. */
#pragma once

#include "cli_func.hpp"

namespace sniperock {

/** Runs "sniperock bench edge". @return the exit code. */
int bench_edge(const arguments& args);

} // namespace sniperock

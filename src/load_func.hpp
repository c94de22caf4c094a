/** @file load_func.hpp Runs an open-loop load and prints what callers got. */
#pragma once

#include "load_type.hpp"

#include <string>

namespace sniperock {

/** Runs the whole plan; returns when every call has ended. */
load_result run_load(const load_plan& plan);
/** The latency that @p share (0 to 1) of the calls did not exceed; 0 if there are none. */
microseconds quantile(std::vector<microseconds> latencies, double share);
/** A table of counts and latencies. */
std::string format_result(const load_result& result);

} // namespace sniperock

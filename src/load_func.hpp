/** @file load_func.hpp Runs an open-loop load and prints what callers got. */
#pragma once

#include "load_type.hpp"

#include <string>

namespace sniperock {

/** Runs the whole plan; returns when every call has ended. */
load_result run_load(const load_plan& plan);
/** Adds up what several parts of a run got. */
void merge_result(load_result& into, load_result&& part);
/** All rows in one. */
load_counts total_counts(const load_result& result);
/** A table of counts and latencies, one line a row and one for all. */
std::string format_result(const load_result& result);
/** The result as JSON text, with the timeline. */
std::string format_result_json(const load_plan& plan, const load_result& result);
/** Parses a stream from words NAME=VALUE. @throws invalid_input */
load_stream parse_load_stream(const std::string& text, const std::string& source);
/** Parses a JSON document of streams. @throws invalid_input */
std::vector<load_stream> parse_load_plan(const std::string& text, const std::string& source);
/** The name that locate knows the stream's service by. */
std::string service_of(const load_stream& stream);

} // namespace sniperock

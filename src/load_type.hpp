/** @file load_type.hpp What the load tool sends and what it counts. */
#pragma once

#include "clock_type.hpp"
#include "dispatch_type.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sniperock {

/** One stream of calls. */
struct load_stream {
    std::string plan;
    std::string key;
    std::string host;
    std::string method = "GET";
    std::string path = "/";
    /** Calls a second. */
    double rate = 100;
};

/** A whole run. */
struct load_plan {
    /** address:port pairs; calls are spread over them. */
    std::vector<std::string> targets;
    std::vector<load_stream> streams;
    std::size_t connections = 64;
    seconds duration{10};
    milliseconds timeout{2000};
    std::uint64_t seed = 1;
};

/** What one stream got. */
struct load_counts {
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    /** The connection broke before a whole answer. */
    std::uint64_t cut_off = 0;
    /** The answer belongs to another call. */
    std::uint64_t crossed = 0;
    /** From the intended send time, of answered calls. */
    std::vector<microseconds> latencies;
};

/** Counts by plan and class. */
using load_result = std::map<std::pair<std::string, call_class>, load_counts>;

} // namespace sniperock

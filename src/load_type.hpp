/** @file load_type.hpp What the load tool sends and what it counts. */
#pragma once

#include "clock_type.hpp"
#include "dispatch_type.hpp"
#include "enum_table.hpp"
#include "load_histogram.hpp"

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sniperock {

/** How the calls of a stream are spread over time. */
enum class arrival_shape {
    /** Independent callers: exponential gaps. */
    poisson,
    /** Equal gaps. */
    constant,
};

template <>
inline constexpr std::array enum_names<arrival_shape>{
    enum_name<arrival_shape>{arrival_shape::poisson, "poisson"},
    enum_name<arrival_shape>{arrival_shape::constant, "constant"},
};

/** From a moment on, the rate is the stream's rate times a factor. */
struct rate_step {
    /** Since the start of the run. */
    milliseconds at{0};
    double factor = 1;
};

/** One stream of calls. */
struct load_stream {
    std::string plan;
    std::string key;
    std::string host;
    /** Name for locate; the part of the host before the first dot if empty. */
    std::string service;
    std::string method = "GET";
    std::string path = "/";
    /** Calls a second. */
    double rate = 100;
    arrival_shape shape = arrival_shape::poisson;
    /** In order of time. */
    std::vector<rate_step> steps;
    /** Size of each request's body. */
    std::size_t body_bytes = 0;
    /** Sends each call's id as its idempotency key. */
    bool idempotency_key = false;
};

/** A whole run. */
struct load_plan {
    /** address:port pairs that calls are spread over, unless locate is given. */
    std::vector<std::string> targets;
    /** address:port pairs that are asked which addresses to use. */
    std::vector<std::string> locate;
    /** Failure domain of the callers, for locate. */
    std::string near;
    std::vector<load_stream> streams;
    /** Most connections open at a time over all threads. */
    std::size_t connections = 4096;
    std::size_t threads = 2;
    /** Callers per thread, each with its own locate answers. */
    std::size_t callers = 16;
    milliseconds duration{10'000};
    milliseconds timeout{2000};
    /** Further attempts at a call that was not run or may be repeated. */
    std::uint32_t retries = 0;
    std::uint64_t seed = 1;
    /** Checks that bodies are those that a stand-in server sends. */
    bool check_bodies = true;
    /** Prints a line every two seconds. */
    bool progress = false;
};

/** Streams counted together. */
struct load_row {
    std::string plan;
    std::string service;
    call_class kind = call_class::safe;

    friend auto operator<=>(const load_row&, const load_row&) = default;
};

/** What callers of one row got; each call but retried ones counts once, after sent. */
struct load_counts {
    std::uint64_t sent = 0;
    /** A whole answer, its own. */
    std::uint64_t answered = 0;
    /** A whole answer with a status of 400 or above. */
    std::uint64_t failed = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    /** The connection broke before a whole answer. */
    std::uint64_t cut_off = 0;
    /** No whole answer came in time. */
    std::uint64_t timed_out = 0;
    /** No entry vm took the connection. */
    std::uint64_t not_sent = 0;
    /** The answer belongs to another call. */
    std::uint64_t crossed = 0;
    /** The answer's body, or the request's body as the server had it, is short or altered. */
    std::uint64_t damaged = 0;
    /** Bytes came that belong to no call. */
    std::uint64_t doubled = 0;
    /** Attempts after the first. */
    std::uint64_t retried = 0;
    /** Told by a header, of calls that were not answered. */
    std::map<std::string, std::uint64_t> reasons;
    /** From the intended send time, of answered calls. */
    latency_histogram latencies;
};

/** What happened to calls that were meant to be sent in one slice of time. */
struct timeline_slice {
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t not_run = 0;
    /** Every other end. */
    std::uint64_t lost = 0;
    microseconds longest{0};
};

/** Length of a slice of the timeline. */
inline constexpr milliseconds timeline_step{100};

/** Outcome of a run. */
struct load_result {
    std::map<load_row, load_counts> rows;
    std::vector<timeline_slice> timeline;
    /** Ids of calls that were told to be not run; bounded. */
    std::vector<std::string> not_run_ids;
    /** Of these, how many servers were asked about and how many did run. */
    std::uint64_t not_run_asked = 0;
    std::uint64_t not_run_ran = 0;
    /** Most connections open at a time, summed over threads. */
    std::size_t most_connections = 0;
};

} // namespace sniperock

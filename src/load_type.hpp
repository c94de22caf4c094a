/** @file load_type.hpp An open-loop load and what came of it. */
#pragma once

#include "clock_type.hpp"

#include <asio/ip/tcp.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace sniperock {

/** What callers ask for, and how often. */
struct load_plan {
    /** Directory nodes, asked in this order. */
    std::vector<asio::ip::tcp::endpoint> directories;
    std::string failure_domain;
    std::string host;
    std::string target;
    std::string method = "GET";
    /** Requests a second, whatever becomes of earlier ones. */
    double rate = 10;
    milliseconds duration{1000};
    milliseconds deadline{2000};
    /** Times that a refused request comes back. */
    int returns = 1;
    /** Begins the ids of the requests. */
    std::string id_prefix = "load";
};

/** What callers got. */
struct load_result {
    std::uint64_t asked = 0;
    /** Successes with the signature and the id of their request. */
    std::uint64_t answered = 0;
    /** Told that it did not run, the last time too. */
    std::uint64_t refused = 0;
    /** Other failures, and no answer at all. */
    std::uint64_t failed = 0;
    /** Successes with another's id or without a signature. */
    std::uint64_t invalid = 0;
    /** Times of the answered ones in ms, unsorted. */
    std::vector<double> times_ms;
};

/** The time in ms below which the part @p quantile of the answers came; 0 without answers. */
double quantile_ms(const load_result& result, double quantile);

/** The result on one line. */
std::string format_load(const load_result& result);

} // namespace sniperock

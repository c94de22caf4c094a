/** @file load_type.hpp Parameters and results of an open-loop load test. */
#pragma once

#include "clock_type.hpp"

#include <asio/ip/tcp.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace sniperock {

/** Parameters of a load test. */
struct load_plan {
    /** Directory endpoints, queried in this order. */
    std::vector<asio::ip::tcp::endpoint> directories;
    std::string failure_domain;
    std::string host;
    /** Key of a client account; empty to send none. */
    std::string key;
    std::string target;
    std::string method = "GET";
    /** Requests per second, independent of the completion of earlier ones. */
    double rate = 10;
    milliseconds duration{1000};
    milliseconds deadline{2000};
    /** Maximum number of retries of a refused request. */
    int max_retries = 1;
    /** Prefix of the request ids. */
    std::string id_prefix = "load";
};

/** Results as observed by the callers. */
struct load_result {
    std::uint64_t requests = 0;
    /** Successes that carry a signature and the id of their request. */
    std::uint64_t answered = 0;
    /** Requests whose last attempt was refused as not executed (429 or 503). */
    std::uint64_t refused = 0;
    /** Other failures, including requests without a response. */
    std::uint64_t failed = 0;
    /** Successes with the id of another request or without a signature. */
    std::uint64_t invalid = 0;
    /** Response times of the answered requests in ms, unsorted. */
    std::vector<double> times_ms;
};

/** Quantile of the response times in ms; @p quantile ranges from 0 to 1. Returns 0 if no request
 * was answered. */
double quantile_ms(const load_result& result, double quantile);

/** Formats the result on one line. */
std::string format_load(const load_result& result);

} // namespace sniperock

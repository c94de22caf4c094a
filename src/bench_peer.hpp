/** @file bench_peer.hpp A fast server and fast callers for benchmarks of the callers' path. */
#pragma once

#include "clock_type.hpp"
#include "load_histogram.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>

namespace sniperock {

/** Answers every request at once with a body of fixed size, on threads of its own. */
class bench_server {
public:
    /**
     * @param threads io threads.
     * @param body_bytes size of each answer's body; sent in pieces if it is large.
     */
    bench_server(std::size_t threads, std::uint64_t body_bytes);
    ~bench_server();
    bench_server(const bench_server&) = delete;
    bench_server& operator=(const bench_server&) = delete;

    [[nodiscard]] std::uint16_t port() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

/** What callers do in one measurement. */
struct bench_calls {
    std::uint16_t port = 0;
    std::size_t connections = 64;
    /** Threads that share the connections. */
    std::size_t threads = 1;
    /** Calls a second over all threads, evenly spaced; 0 calls again as soon as an answer came. */
    double rate = 0;
    milliseconds duration{2000};
};

/** What callers saw. */
struct bench_result {
    /** Times from the intended start of a call to the end of its answer. */
    latency_histogram latencies;
    std::uint64_t answered = 0;
    std::uint64_t failed = 0;
    std::chrono::duration<double> took{0};
};

/** Runs callers until their time is up. */
bench_result run_bench_calls(const bench_calls& calls);

/** Downloads one answer whole. @return its body's bytes. */
std::uint64_t run_bench_download(std::uint16_t port);

} // namespace sniperock

/** @file bench_edge.cpp Measures the callers' path against direct calls to the same server. */
#include "bench_edge.hpp"
#include "bench_peer.hpp"
#include "cli_options.hpp"
#include "edge_server.hpp"
#include "hash_func.hpp"

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <sys/resource.h>

#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <thread>

namespace sniperock {
namespace {

namespace po = boost::program_options;

constexpr std::size_t answer_bytes = 1024;
constexpr std::uint32_t ample_slots = 256;

/** An edge with one service and one server, as an entry process has it. */
class bench_entry {
public:
    bench_entry(std::uint16_t server_port, std::size_t threads)
        : edge_(make_limits(threads), slots_, routers_, locator_, counters_, measured_)
    {
        config_snapshot config;
        config.plans = {{"bench", {sha256_hex("bench")}}};
        config.allowances = {{"bench", "bench"}};
        config.services = {{"bench",
                            {"bench"},
                            "",
                            1,
                            {{"server", "127.0.0.1", server_port, "d", ample_slots, ample_slots}}}};
        const auto shared = std::make_shared<const config_snapshot>(std::move(config));
        slots_.apply(shared);
        slots_.set_owned({{"bench", shared->services.front().servers}});
        routers_.set(std::make_shared<const edge_router>(shared));
        edge_.start();
    }

    [[nodiscard]] std::uint16_t port() const { return edge_.port(); }

private:
    static edge_limits make_limits(std::size_t threads)
    {
        edge_limits limits;
        limits.threads = threads;
        return limits;
    }

    metrics measured_;
    dispatcher slots_{{{"bench", incarnation{1}}, "d"}, {}, {}};
    router_holder routers_;
    locate_service locator_{seconds{5}, 1};
    edge_counters counters_;
    edge_server edge_;
};

/** A memory figure of this process from /proc/self/status in bytes. */
std::uint64_t memory_bytes(std::string_view name)
{
    constexpr std::uint64_t kilobyte = 1024;
    std::ifstream status("/proc/self/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(name)) {
            return std::stoull(line.substr(name.size())) * kilobyte;
        }
    }
    return 0;
}

/** Processor time that the entry's io threads have used. */
nanoseconds entry_cpu_time()
{
    nanoseconds sum{0};
    for (const auto& task : std::filesystem::directory_iterator("/proc/self/task")) {
        std::string name;
        std::getline(std::ifstream(task.path() / "comm"), name);
        std::int64_t used = 0;
        if (name == "edge" && std::ifstream(task.path() / "schedstat") >> used) {
            sum += nanoseconds{used};
        }
    }
    return sum;
}

double in_ms(microseconds time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

void print_latency(const std::string& what, double rate, const bench_result& result)
{
    std::cout << std::left << std::setw(10) << what << std::right << std::fixed
              << std::setprecision(0) << std::setw(8) << rate << std::setprecision(3);
    for (const double share : {0.5, 0.99, 0.999}) {
        std::cout << std::setw(10) << in_ms(result.latencies.quantile(share));
    }
    std::cout << std::setw(10) << result.answered << std::setw(8) << result.failed << std::endl;
}

void add_turn(bench_result& sum, const bench_calls& calls)
{
    const auto result = run_bench_calls(calls);
    sum.latencies.merge(result.latencies);
    sum.answered += result.answered;
    sum.failed += result.failed;
}

void measure_latency(milliseconds duration)
{
    std::cout << "latency (ms), 64 connections, 1 KB answers\n"
                 "path          /s      50%       99%     99.9%  answered  failed\n";
    for (const double rate : {1000.0, 5000.0}) {
        bench_server server(1, answer_bytes);
        bench_entry entry(server.port(), 2);
        const std::size_t connections = 64;
        // Short turns, so that both see the same disturbances of the machine.
        constexpr int turns = 10;
        bench_result direct;
        bench_result through;
        for (int turn = 0; turn < turns; ++turn) {
            add_turn(direct, {server.port(), connections, 1, rate, duration / turns});
            add_turn(through, {entry.port(), connections, 1, rate, duration / turns});
        }
        print_latency("direct", rate, direct);
        print_latency("entry", rate, through);
        std::cout << "added             ";
        for (const double share : {0.5, 0.99, 0.999}) {
            const auto added = through.latencies.quantile(share) - direct.latencies.quantile(share);
            std::cout << std::setw(10) << in_ms(added);
        }
        std::cout << std::endl;
    }
}

void measure_rate(milliseconds duration)
{
    std::cout << "calls/s, 64 connections, 1 KB answers\n"
                 "path       threads   calls/s  99% ms  failed  entry us/call  calls/s a core\n";
    for (const std::size_t threads : {std::size_t{1}, std::size_t{4}}) {
        bench_server server(2, answer_bytes);
        bench_entry entry(server.port(), threads);
        const std::size_t callers = threads == 1 ? 1 : 3;
        for (const auto& [what, port] :
             {std::pair{"direct", server.port()}, std::pair{"entry", entry.port()}}) {
            const auto cpu_before = entry_cpu_time();
            const auto result = run_bench_calls({port, 64, callers, 0, duration});
            const std::chrono::duration<double> used = entry_cpu_time() - cpu_before;
            const double per_call = used.count() / static_cast<double>(result.answered);
            std::cout << std::left << std::setw(10) << what << std::right << std::setw(8) << threads
                      << std::setw(10) << std::setprecision(0)
                      << static_cast<double>(result.answered) / result.took.count()
                      << std::setprecision(2) << std::setw(8)
                      << in_ms(result.latencies.quantile(0.99)) << std::setw(8) << result.failed;
            if (port == entry.port()) {
                constexpr double us_a_second = 1e6;
                std::cout << std::setw(15) << per_call * us_a_second << std::setprecision(0)
                          << std::setw(16) << 1 / per_call;
            }
            std::cout << std::endl;
        }
    }
}

double download_rate(std::uint16_t port)
{
    constexpr double megabyte = 1'048'576;
    const auto start = boot_clock::now();
    const auto bytes = run_bench_download(port);
    const std::chrono::duration<double> took = boot_clock::now() - start;
    return static_cast<double>(bytes) / megabyte / took.count();
}

void measure_download()
{
    constexpr std::uint64_t gigabyte = std::uint64_t{1} << 30U;
    constexpr std::uint64_t megabyte = std::uint64_t{1} << 20U;
    bench_server server(1, gigabyte);
    bench_entry entry(server.port(), 1);
    const auto before = memory_bytes("VmRSS:");
    const double direct = download_rate(server.port());
    const double through = download_rate(entry.port());
    const auto peak = memory_bytes("VmHWM:");
    std::cout << "download of 1 GB: direct " << std::setprecision(0) << direct
              << " MB/s, through the entry " << through << " MB/s, ratio " << std::setprecision(2)
              << through / direct << "; resident memory " << before / megabyte
              << " MB before, peak " << peak / megabyte << " MB" << std::endl;
}

/** Lets this process open as many descriptors as it may. @return how many. */
std::size_t raise_descriptor_limit()
{
    rlimit limit{};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &limit);
    return limit.rlim_cur;
}

void measure_idle()
{
    constexpr std::size_t wanted = 4000;
    const std::size_t count = std::min(wanted, raise_descriptor_limit() / 4);
    bench_server server(1, answer_bytes);
    bench_entry entry(server.port(), 1);
    asio::io_context io;
    std::vector<asio::ip::tcp::socket> sockets;
    sockets.reserve(count);
    // Each connection has made one call, so that whatever it keeps is there.
    run_bench_calls({entry.port(), 64, 1, 0, milliseconds{100}});
    const auto before = memory_bytes("VmRSS:");
    std::string buffer(2 * answer_bytes, '\0');
    const std::string request = "GET /bench HTTP/1.1\r\nHost: bench\r\nX-Plan-Key: bench\r\n\r\n";
    for (std::size_t at = 0; at < count; ++at) {
        auto& socket = sockets.emplace_back(io);
        socket.connect({asio::ip::address_v4::loopback(), entry.port()});
        socket.write_some(asio::buffer(request));
        std::size_t received = 0;
        while (received < answer_bytes) {
            received += socket.read_some(asio::buffer(buffer));
        }
    }
    const auto after = memory_bytes("VmRSS:");
    std::cout << "memory of an idle connection: " << (after - before) / count << " bytes over "
              << count << " connections" << std::endl;
}

} // namespace

int bench_edge(const arguments& args)
{
    po::options_description options("sniperock bench edge: the callers' path against direct calls");
    options.add_options()("ms", po::value<std::int64_t>()->default_value(3000),
                          "duration of each measurement in ms")(
        "only", po::value<std::string>()->default_value(""),
        "one of latency, rate, download, idle; all by default");
    const auto given = parse_options(options, args);
    if (!given) {
        return exit_code::success;
    }
    const milliseconds duration{(*given)["ms"].as<std::int64_t>()};
    const auto only = (*given)["only"].as<std::string>();
    std::cout << std::fixed;
    const auto wanted = [&only](std::string_view part) { return only.empty() || only == part; };
    if (wanted("latency")) {
        measure_latency(duration);
    }
    if (wanted("rate")) {
        measure_rate(duration);
    }
    if (wanted("download")) {
        measure_download();
    }
    if (wanted("idle")) {
        measure_idle();
    }
    return exit_code::success;
}

} // namespace sniperock

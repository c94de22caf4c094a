/** @file bench_dispatch.cpp Measures how many grants a second one dispatcher gives. */
#include "bench_edge.hpp"
#include "cli_func.hpp"
#include "cli_options.hpp"
#include "dispatch.hpp"

#include <algorithm>
#include <atomic>
#include <iomanip>
#include <iostream>
#include <thread>

namespace sniperock {
namespace {

namespace po = boost::program_options;

/** What one measurement runs with. */
struct bench_plan {
    std::size_t threads = 1;
    std::size_t services = 1;
    std::size_t servers = 26;
    std::size_t calls = 1'000'000;
};

/** A configuration of equal services with one plan. */
std::shared_ptr<const config_snapshot> make_config(const bench_plan& plan)
{
    config_snapshot config;
    for (std::size_t at = 0; at < plan.services; ++at) {
        service_entry service;
        service.name = "service-" + std::to_string(at);
        for (std::size_t number = 0; number < plan.servers; ++number) {
            service.servers.push_back(
                {"server-" + std::to_string(number), "127.0.0.1", 1, "north", 3, 3});
        }
        config.allowances.push_back({"gold", service.name});
        config.services.push_back(std::move(service));
    }
    return std::make_shared<const config_snapshot>(std::move(config));
}

/** One thread's share of the calls: acquire, then release. @return grants. */
std::size_t run_calls(dispatcher& slots, const bench_plan& plan, std::size_t thread)
{
    const std::string service = "service-" + std::to_string(thread % plan.services);
    const call_report report{call_result::answered, milliseconds{5}, std::nullopt};
    std::size_t granted = 0;
    for (std::size_t call = 0; call < plan.calls / plan.threads; ++call) {
        const auto now = boot_clock::now();
        const auto wall = system_clock_source::wall_now();
        const call_spec spec{service, "gold", call_class::safe, now + seconds{10}, {}};
        grant_result result = refusal{};
        slots.acquire(spec, now, wall, [&](grant_result got) { result = std::move(got); });
        if (const auto* slot = std::get_if<grant>(&result)) {
            ++granted;
            slots.release(*slot, report, now, wall);
        }
    }
    return granted;
}

void measure(const bench_plan& plan)
{
    dispatcher slots({{"bench", incarnation{1}}, "north"}, {}, {});
    const auto config = make_config(plan);
    slots.apply(config);
    std::map<std::string, std::vector<server_entry>> owned;
    for (const auto& service : config->services) {
        owned[service.name] = service.servers;
    }
    slots.set_owned(owned);
    std::atomic<std::size_t> granted{0};
    const auto start = boot_clock::now();
    {
        std::vector<std::jthread> threads;
        for (std::size_t at = 0; at < plan.threads; ++at) {
            threads.emplace_back([&, at] { granted += run_calls(slots, plan, at); });
        }
    }
    const std::chrono::duration<double> took = boot_clock::now() - start;
    std::cout << std::setw(8) << plan.threads << std::setw(10) << plan.services << std::setw(10)
              << plan.servers << std::setw(12) << granted << std::setw(14) << std::fixed
              << std::setprecision(0) << static_cast<double>(granted) / took.count() << "\n";
}

int bench_dispatch(const arguments& args)
{
    po::options_description options("sniperock bench dispatch: grants and releases a second");
    options.add_options()("calls", po::value<std::size_t>()->default_value(1'000'000),
                          "calls of each line");
    const auto given = parse_options(options, args);
    if (!given) {
        return exit_code::success;
    }
    const auto calls = (*given)["calls"].as<std::size_t>();
    std::cout << " threads  services   servers     granted    calls/s\n";
    for (const bench_plan& plan : {bench_plan{1, 1, 2, calls}, bench_plan{1, 1, 26, calls},
                                   bench_plan{4, 1, 26, calls}, bench_plan{4, 4, 26, calls}}) {
        measure(plan);
    }
    return exit_code::success;
}

int run_bench(const arguments& args)
{
    const std::string what = args.empty() ? "" : args.front();
    const arguments rest(args.empty() ? args.end() : args.begin() + 1, args.end());
    if (what == "dispatch") {
        return bench_dispatch(rest);
    }
    if (what == "edge") {
        return bench_edge(rest);
    }
    std::cerr << "usage: sniperock bench dispatch|edge [OPTIONS]\n";
    return what == "--help" ? exit_code::success : exit_code::usage;
}

const subcommand_registration bench_command("bench", "measure one part by itself", run_bench);

} // namespace
} // namespace sniperock

/** @file cli_standin.cpp The subcommand that runs stand-ins for the platform and for servers. */
#include "cli_func.hpp"
#include "cli_options.hpp"
#include "cli_signal.hpp"
#include "demo_func.hpp"
#include "finding_type.hpp"
#include "standin_config.hpp"
#include "standin_fleet.hpp"
#include "standin_platform.hpp"

#include <fstream>
#include <iostream>
#include <sstream>

namespace sniperock {
namespace {

namespace po = boost::program_options;

int run_standin_platform(const arguments& args)
{
    po::options_description options("sniperock standin platform");
    options.add_options()("address", po::value<std::string>()->default_value("127.0.0.1"), "IP");
    options.add_options()("port", po::value<int>()->default_value(7100),
                          "port; 0 takes a free one");
    options.add_options()("list-lag-ms", po::value<int>()->default_value(1000),
                          "how late the list of vms shows changes");
    options.add_options()(
        "vm-keep-ms", po::value<int>()->default_value(standin_platform::default_vm_keep.count()),
        "time after which a vm that is not renewed vanishes; 0 keeps it");
    const auto given = parse_options(options, args);
    if (!given) {
        return exit_code::success;
    }
    standin_platform platform(milliseconds{(*given)["list-lag-ms"].as<int>()},
                              milliseconds{(*given)["vm-keep-ms"].as<int>()});
    const int port =
        platform.start((*given)["address"].as<std::string>(), (*given)["port"].as<int>());
    std::cout << "platform listens on port " << port << std::endl;
    wait_for_signal();
    platform.stop();
    return exit_code::success;
}

/** Declares an option that fills @p target, whose present value is the default. */
template <typename Number>
void add_number(po::options_description& options, const char* name, Number& target,
                const char* text)
{
    options.add_options()(name, po::value<Number>(&target)->default_value(target), text);
}

/** Declares an option that fills a duration. */
template <typename Duration>
void add_duration(po::options_description& options, const char* name, Duration& target,
                  const char* text)
{
    options.add_options()(
        name,
        po::value<std::uint32_t>()
            ->default_value(static_cast<std::uint32_t>(target.count()))
            ->notifier([&target](std::uint32_t value) { target = Duration{value}; }),
        text);
}

void add_behaviour(po::options_description& options, server_behaviour& behaviour)
{
    add_number(options, "slots", behaviour.slots, "calls that run at a time");
    add_number(options, "cold-slots", behaviour.cold_slots,
               "calls at a time that it bears while cold; one more and it falls over");
    add_number(options, "queue", behaviour.queue_limit, "calls that wait inside; more are shed");
    add_number(options, "answer-bytes", behaviour.answer_bytes, "size of each answer's body");
    add_number(options, "seed", behaviour.seed, "seed of the first server");
    add_number(options, "cold-calls", behaviour.cold_calls, "calls until warm; 0 counts none");
    add_number(options, "cold-factor", behaviour.cold_factor, "factor on service time while cold");
    add_number(options, "spell-factor", behaviour.spell_factor, "factor in a slow spell");
    add_number(options, "record-limit", behaviour.record_limit, "finished calls recorded");
    options.add_options()("start-warm", po::bool_switch(&behaviour.starts_warm),
                          "begin warm; later starts are cold for cold-ms");
    add_duration(options, "service-time-us", behaviour.service_time,
                 "mean of the exponential service time; 0 answers at once");
    add_duration(options, "connect-time-us", behaviour.connect_time, "time to open a connection");
    add_duration(options, "probe-time-us", behaviour.probe_time, "time that a probe takes");
    add_duration(options, "cold-ms", behaviour.cold_time, "time until warm; 0 starts warm");
    add_duration(options, "cold-grace-ms", behaviour.cold_grace,
                 "time after a sudden turn to cold in which it bears its warm load");
    add_duration(options, "down-ms", behaviour.down_time, "time down after falling over");
    add_duration(options, "report-lag-ms", behaviour.report_lag, "age of the load reported");
    add_duration(options, "spell-every-ms", behaviour.spell_every,
                 "mean time between random slow spells; 0 has none");
    add_duration(options, "spell-ms", behaviour.spell_time, "length of a slow spell");
}

int run_standin_server(const arguments& args)
{
    fleet_options fleet;
    po::options_description options("sniperock standin server");
    options.add_options()(
        "address", po::value<std::string>(&fleet.address)->default_value(fleet.address), "IP");
    options.add_options()("name", po::value<std::string>(&fleet.prefix)->default_value("server"),
                          "name prefix");
    add_number(options, "port", fleet.first_port, "first port; 0 takes free ones");
    add_number(options, "count", fleet.count, "servers, on following ports");
    add_number(options, "threads", fleet.threads, "threads that share the servers");
    add_behaviour(options, fleet.behaviour);
    if (!parse_options(options, args)) {
        return exit_code::success;
    }
    standin_fleet servers(fleet);
    for (const auto& [name, port] : servers.start()) {
        std::cout << name << " listens on port " << port << "\n";
    }
    std::cout << std::flush;
    wait_for_signal();
    servers.stop();
    return exit_code::success;
}

std::string read_file(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf())) {
        throw invalid_input({{path, 0, "", "cannot be read"}});
    }
    return text.str();
}

int run_standin_config(const arguments& args)
{
    po::options_description options("sniperock standin config: replaces the configuration in the "
                                    "platform stand-in");
    options.add_options()("port", po::value<int>()->default_value(7100), "the stand-in's port");
    options.add_options()("file", po::value<std::string>()->required(),
                          "JSON with plans, allowances, services and availability");
    const auto given = parse_options(options, args);
    if (!given) {
        return exit_code::success;
    }
    const auto path = (*given)["file"].as<std::string>();
    store_client store("127.0.0.1", (*given)["port"].as<int>(), seconds{5});
    seed_config(store, parse_whole_config(read_file(path), path));
    return exit_code::success;
}

int run_standin(const arguments& args)
{
    const std::string kind = args.empty() ? "" : args.front();
    const arguments rest(args.empty() ? args.end() : args.begin() + 1, args.end());
    if (kind == "platform") {
        return run_standin_platform(rest);
    }
    if (kind == "server") {
        return run_standin_server(rest);
    }
    if (kind == "config") {
        return run_standin_config(rest);
    }
    std::cerr << "usage: sniperock standin platform|server|config [OPTIONS]\n";
    return kind == "--help" ? exit_code::success : exit_code::usage;
}

int run_demo_command(const arguments& args)
{
    po::options_description options("sniperock demo: the whole system in one process");
    if (!parse_options(options, args)) {
        return exit_code::success;
    }
    return run_demo();
}

const subcommand_registration standin_command("standin", "run a stand-in", run_standin);
const subcommand_registration demo_command("demo", "run the whole system once", run_demo_command);

} // namespace
} // namespace sniperock

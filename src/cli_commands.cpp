/** @file cli_commands.cpp The subcommands that run processes and print tables. */
#include "cli_func.hpp"
#include "cli_options.hpp"
#include "demo_func.hpp"
#include "entry_node.hpp"
#include "event_type.hpp"
#include "settings_func.hpp"
#include "standin_platform.hpp"
#include "standin_server.hpp"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>

#include <iostream>
#include <thread>

namespace sniperock {
namespace {

namespace po = boost::program_options;

/** Blocks until SIGTERM or SIGINT. */
void wait_for_signal()
{
    asio::io_context io;
    asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([](const asio::error_code&, int) {});
    io.run();
}

int run_entry(const arguments& args)
{
    po::options_description options("sniperock entry --settings FILE");
    options.add_options()("settings", po::value<std::string>()->required(), "INI file");
    const auto given = parse_options(options, args);
    if (!given) {
        return exit_code::success;
    }
    entry_node node(load_settings((*given)["settings"].as<std::string>()));
    node.start();
    wait_for_signal();
    node.stop();
    return exit_code::success;
}

int run_check(const arguments& args)
{
    po::options_description options("sniperock check --settings FILE");
    options.add_options()("settings", po::value<std::string>()->required(), "INI file");
    const auto given = parse_options(options, args);
    if (!given) {
        return exit_code::success;
    }
    load_settings((*given)["settings"].as<std::string>());
    std::cout << "no findings\n";
    return exit_code::success;
}

int run_settings(const arguments& args)
{
    po::options_description options("sniperock settings: lists every setting");
    if (!parse_options(options, args)) {
        return exit_code::success;
    }
    std::cout << list_settings();
    return exit_code::success;
}

int run_events(const arguments& args)
{
    po::options_description options("sniperock events: prints the catalogue of log events");
    if (!parse_options(options, args)) {
        return exit_code::success;
    }
    std::cout << event_catalogue();
    return exit_code::success;
}

int run_standin_platform(const arguments& args)
{
    po::options_description options("sniperock standin platform");
    options.add_options()("address", po::value<std::string>()->default_value("127.0.0.1"), "IP");
    options.add_options()("port", po::value<int>()->default_value(7100), "port");
    options.add_options()("list-lag-ms", po::value<int>()->default_value(1000),
                          "how late the list of vms shows changes");
    const auto given = parse_options(options, args);
    if (!given) {
        return exit_code::success;
    }
    standin_platform platform(milliseconds{(*given)["list-lag-ms"].as<int>()});
    const int port =
        platform.start((*given)["address"].as<std::string>(), (*given)["port"].as<int>());
    std::cout << "platform listens on port " << port << std::endl;
    wait_for_signal();
    platform.stop();
    return exit_code::success;
}

int run_standin_server(const arguments& args)
{
    po::options_description options("sniperock standin server");
    options.add_options()("address", po::value<std::string>()->default_value("127.0.0.1"), "IP");
    options.add_options()("port", po::value<std::uint16_t>()->default_value(7200), "first port");
    options.add_options()("count", po::value<std::uint16_t>()->default_value(1),
                          "servers, on following ports");
    options.add_options()("name", po::value<std::string>()->default_value("server"), "name prefix");
    options.add_options()("slots", po::value<std::uint32_t>()->default_value(3), "slots of each");
    options.add_options()("service-time-us", po::value<int>()->default_value(5000),
                          "mean service time");
    options.add_options()("answer-bytes", po::value<std::size_t>()->default_value(1024),
                          "size of each answer");
    const auto given = parse_options(options, args);
    if (!given) {
        return exit_code::success;
    }
    asio::io_context io;
    std::vector<std::unique_ptr<standin_server>> servers;
    for (std::uint16_t at = 0; at < (*given)["count"].as<std::uint16_t>(); ++at) {
        server_behaviour behaviour;
        behaviour.name = (*given)["name"].as<std::string>() + "-" + std::to_string(at);
        behaviour.slots = (*given)["slots"].as<std::uint32_t>();
        behaviour.service_time = microseconds{(*given)["service-time-us"].as<int>()};
        behaviour.answer_bytes = (*given)["answer-bytes"].as<std::size_t>();
        behaviour.seed = at + 1U;
        servers.push_back(std::make_unique<standin_server>(io, behaviour));
        const auto first = (*given)["port"].as<std::uint16_t>();
        const auto port = servers.back()->start((*given)["address"].as<std::string>(),
                                                static_cast<std::uint16_t>(first + at));
        std::cout << behaviour.name << " listens on port " << port << std::endl;
    }
    asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&io](const asio::error_code&, int) { io.stop(); });
    io.run();
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
    std::cerr << "usage: sniperock standin platform|server [OPTIONS]\n";
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

const subcommand_registration entry_command("entry", "run one entry vm's process", run_entry);
const subcommand_registration check_command("check", "check settings and lists", run_check);
const subcommand_registration settings_command("settings", "list every setting", run_settings);
const subcommand_registration events_command("events", "print the catalogue of events", run_events);
const subcommand_registration standin_command("standin", "run a stand-in", run_standin);
const subcommand_registration demo_command("demo", "run the whole system once", run_demo_command);

} // namespace
} // namespace sniperock

/** @file cli_load.cpp The subcommand load. */
#include "cli_func.hpp"
#include "cli_options.hpp"
#include "load_runner.hpp"
#include "net_endpoint.hpp"
#include "platform_dialect.hpp"

#include <asio/io_context.hpp>

#include <iostream>
#include <stdexcept>

namespace sniperock {
namespace {

namespace po = boost::program_options;

asio::ip::tcp::endpoint loopback_endpoint(const std::string& text)
{
    const auto endpoint = parse_endpoint(text);
    if (!endpoint || !endpoint->address().is_loopback()) {
        throw std::runtime_error("load may be sent to 127.0.0.0/8 only, not to " + text);
    }
    return *endpoint;
}

int run_load(const arguments& args)
{
    constexpr double default_rate = 20;
    constexpr int default_seconds = 5;
    constexpr int default_deadline_ms = 2000;
    po::options_description options("sniperock load: simulates callers that check each answer");
    auto add = options.add_options();
    add("directory", po::value<std::vector<std::string>>()->required(),
        "IP:port of a directory page; may be given several times");
    add("host", po::value<std::string>()->required(), "Host header");
    add("key", po::value<std::string>()->default_value(""), "key of a client account");
    add("target", po::value<std::string>()->required(), "path and query");
    add("method", po::value<std::string>()->default_value("GET"), "GET or POST");
    add("near", po::value<std::string>()->default_value(""), "failure domain of the callers");
    add("rate", po::value<double>()->default_value(default_rate), "requests per second");
    add("seconds", po::value<int>()->default_value(default_seconds), "duration in seconds");
    add("deadline", po::value<int>()->default_value(default_deadline_ms),
        "deadline of a caller in ms");
    const auto values = parse_options(options, args);
    if (!values) {
        return exit_code::success;
    }
    load_plan plan;
    for (const auto& text : (*values)["directory"].as<std::vector<std::string>>()) {
        plan.directories.push_back(loopback_endpoint(text));
    }
    plan.host = (*values)["host"].as<std::string>();
    plan.key = (*values)["key"].as<std::string>();
    plan.target = (*values)["target"].as<std::string>();
    plan.method = (*values)["method"].as<std::string>();
    plan.failure_domain = (*values)["near"].as<std::string>();
    plan.rate = (*values)["rate"].as<double>();
    plan.duration = seconds{(*values)["seconds"].as<int>()};
    plan.deadline = milliseconds{(*values)["deadline"].as<int>()};
    asio::io_context io{1};
    load_runner runner(io, platform::dialect(), plan);
    start_task(io.get_executor(), runner.run());
    io.run();
    std::cout << format_load(runner.result()) << "\n";
    const auto& result = runner.result();
    return result.invalid == 0 ? exit_code::success : exit_code::failure;
}

const subcommand_registration load_command("load", "simulate callers and check each answer",
                                           run_load);

} // namespace
} // namespace sniperock

/** @file cli_explain.cpp The subcommand explain. */
#include "cli_func.hpp"
#include "cli_options.hpp"
#include "explain.hpp"

#include <fstream>
#include <iostream>
#include <stdexcept>

namespace sniperock {
namespace {

namespace po = boost::program_options;

int run_explain(const arguments& args)
{
    if (args.empty() || args.front().starts_with("-")) {
        std::cout << "usage: sniperock explain ID [FILE...]\n"
                     "Reconstructs the course of one request from the logs of several VMs; reads\n"
                     "standard input if no file is named.\n";
        return args.empty() ? exit_code::usage : exit_code::success;
    }
    request_trace trace(args.front());
    for (const auto& path : arguments{args.begin() + 1, args.end()}) {
        std::ifstream file(path);
        if (!file) {
            throw std::runtime_error(path + ": cannot be read");
        }
        trace.read(file);
    }
    if (args.size() == 1) {
        trace.read(std::cin);
    }
    std::cout << trace.text();
    return exit_code::success;
}

const subcommand_registration
    explain_command("explain", "reconstruct the course of a request from logs", run_explain);

} // namespace
} // namespace sniperock

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
                     "Tells the story of one request out of the logs of several VMs; reads\n"
                     "standard input if no file is named.\n";
        return args.empty() ? exit_code::usage : exit_code::success;
    }
    request_story story(args.front());
    for (const auto& path : arguments{args.begin() + 1, args.end()}) {
        std::ifstream file(path);
        if (!file) {
            throw std::runtime_error(path + ": cannot be read");
        }
        story.read(file);
    }
    if (args.size() == 1) {
        story.read(std::cin);
    }
    std::cout << story.text();
    return exit_code::success;
}

const subcommand_registration explain_command("explain", "tell the story of a request from logs",
                                              run_explain);

} // namespace
} // namespace sniperock

/** @file cli_options.cpp Parses the options of one subcommand with Boost.Program_options. */
#include "cli_options.hpp"

#include <iostream>

namespace sniperock {

namespace po = boost::program_options;

std::optional<po::variables_map> parse_options(po::options_description& options,
                                               const arguments& args)
{
    options.add_options()("help", "print this help");
    po::variables_map values;
    const po::positional_options_description no_positional;
    po::store(po::command_line_parser(args).options(options).positional(no_positional).run(),
              values);
    if (values.count("help") > 0) {
        std::cout << options;
        return std::nullopt;
    }
    po::notify(values);
    return values;
}

} // namespace sniperock

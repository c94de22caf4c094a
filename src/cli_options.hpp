/** @file cli_options.hpp Parses the options of one subcommand. */
#pragma once

#include "cli_func.hpp"

#include <boost/program_options.hpp>

#include <optional>

namespace sniperock {

/**
 * Parses @p args according to @p options, to which --help is added.
 * @return empty if help was requested and printed.
 * @throws boost::program_options::error if an option is unknown, malformed or missing.
 */
std::optional<boost::program_options::variables_map>
parse_options(boost::program_options::options_description& options, const arguments& args);

} // namespace sniperock

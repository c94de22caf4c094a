/** @file cli_func.hpp The command line and its self-registering subcommands. */
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace sniperock {

/** Exit codes of all subcommands. */
namespace exit_code {
inline constexpr int success = 0;
inline constexpr int failure = 1;
inline constexpr int usage = 2;
} // namespace exit_code

/** Arguments after the subcommand's name. */
using arguments = std::vector<std::string>;

/** Registers a subcommand when constructed; use one static object per subcommand. */
class subcommand_registration {
public:
    /**
     * @param name name on the command line.
     * @param summary one-line description in the list of subcommands.
     * @param run function that runs it and returns the exit code.
     */
    subcommand_registration(std::string name, std::string summary,
                            std::function<int(const arguments&)> run);
};

/** Runs the subcommand that the first argument names. @return the exit code. */
int run_command_line(const arguments& args);

} // namespace sniperock

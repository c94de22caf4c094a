/** @file cli.cpp Dispatch of subcommands. */
#include "cli_func.hpp"
#include "finding_type.hpp"

#include <boost/program_options/errors.hpp>

#include <iomanip>
#include <iostream>
#include <map>

namespace sniperock {
namespace {

struct subcommand {
    std::string summary;
    std::function<int(const arguments&)> run;
};

std::map<std::string, subcommand>& subcommands()
{
    static std::map<std::string, subcommand> table;
    return table;
}

void print_help(std::ostream& out)
{
    out << "usage: sniperock COMMAND [OPTIONS]\n"
           "       sniperock COMMAND --help\n"
           "       sniperock --version\n\ncommands:\n";
    for (const auto& [name, command] : subcommands()) {
        out << "  " << std::left << std::setw(18) << name << command.summary << "\n";
    }
}

int run_reporting_errors(const subcommand& command, const arguments& args)
{
    try {
        return command.run(args);
    }
    catch (const boost::program_options::error& fault) {
        std::cerr << "sniperock: " << fault.what() << "\n";
        return exit_code::usage;
    }
    catch (const invalid_input& fault) {
        std::cerr << to_text(fault.findings());
        return exit_code::usage;
    }
    catch (const std::exception& fault) {
        std::cerr << "sniperock: " << fault.what() << "\n";
        return exit_code::failure;
    }
}

} // namespace

subcommand_registration::subcommand_registration(std::string name, std::string summary,
                                                 std::function<int(const arguments&)> run)
{
    subcommands().emplace(std::move(name), subcommand{std::move(summary), std::move(run)});
}

int run_command_line(const arguments& args)
{
    if (args.empty()) {
        print_help(std::cerr);
        return exit_code::usage;
    }
    if (args.front() == "--help" || args.front() == "help") {
        print_help(std::cout);
        return exit_code::success;
    }
    if (args.front() == "--version") {
        std::cout << "sniperock " SNIPEROCK_VERSION "\n";
        return exit_code::success;
    }
    const auto found = subcommands().find(args.front());
    if (found == subcommands().end()) {
        std::cerr << "sniperock: unknown command " << args.front() << "; see sniperock --help\n";
        return exit_code::usage;
    }
    return run_reporting_errors(found->second, {args.begin() + 1, args.end()});
}

} // namespace sniperock

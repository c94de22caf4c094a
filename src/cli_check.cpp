/** @file cli_check.cpp The subcommand check: settings and lists, all findings together. */
#include "cli_func.hpp"
#include "cli_options.hpp"
#include "config_func.hpp"
#include "settings_func.hpp"

#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>

namespace sniperock {
namespace {

namespace po = boost::program_options;

std::string read_file(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf())) {
        throw invalid_input({{path, 0, "", "cannot be read"}});
    }
    return text.str();
}

/** Collects what @p read finds. @return true if it found nothing. */
template <typename Read>
bool collect(finding_list& findings, const Read& read)
{
    try {
        read();
        return true;
    }
    catch (const invalid_input& fault) {
        std::ranges::copy(fault.findings(), std::back_inserter(findings));
        return false;
    }
}

/** Reads one list if its file is given. @return false if it has findings or is not given. */
template <typename List, typename Parse>
bool read_list(const po::variables_map& given, const char* option, List& list, const Parse& parse,
               finding_list& findings)
{
    if (given.count(option) == 0) {
        return false;
    }
    const auto path = given[option].as<std::string>();
    return collect(findings, [&] { list = parse(read_file(path), path); });
}

int run_check(const arguments& args)
{
    po::options_description options(
        "sniperock check [--settings FILE] [--plans FILE --allowances FILE --services FILE]");
    options.add_options()("settings", po::value<std::string>(), "INI file");
    options.add_options()("plans", po::value<std::string>(), "list of plans");
    options.add_options()("allowances", po::value<std::string>(), "list of allowances");
    options.add_options()("services", po::value<std::string>(), "list of services");
    const auto given = parse_options(options, args);
    if (!given) {
        return exit_code::success;
    }
    if (given->empty()) {
        std::cerr << "sniperock: nothing to check; see sniperock check --help\n";
        return exit_code::usage;
    }
    finding_list findings;
    if (given->count("settings") > 0) {
        collect(findings, [&] { load_settings((*given)["settings"].as<std::string>()); });
    }
    config_snapshot lists;
    const bool plans = read_list(*given, "plans", lists.plans, parse_plans, findings);
    const bool services = read_list(*given, "services", lists.services, parse_services, findings);
    const bool allowances =
        read_list(*given, "allowances", lists.allowances, parse_allowances, findings);
    if (plans && services && allowances) {
        std::ranges::copy(check_references(lists), std::back_inserter(findings));
    }
    if (!findings.empty()) {
        std::cerr << to_text(findings);
        return exit_code::usage;
    }
    std::cout << "no findings\n";
    return exit_code::success;
}

const subcommand_registration check_command("check", "check settings and lists", run_check);

} // namespace
} // namespace sniperock

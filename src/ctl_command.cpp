/** @file ctl_command.cpp The subcommand ctl: its command line. */
#include "cli_func.hpp"
#include "ctl_type.hpp"

#include <boost/program_options.hpp>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

namespace sniperock {
namespace {

namespace po = boost::program_options;

constexpr const char* default_server = "127.0.0.1:7001";
constexpr const char* synopsis =
    "usage: sniperock ctl [OPTIONS] COMMAND\n\n"
    "commands:\n"
    "  status                                what is in force, and on which vms\n"
    "  audit                                 recent changes\n"
    "  plans|allowances|services|admins get  print a list\n"
    "  plans|allowances|services|admins put FILE\n"
    "                                        replace a list; - reads standard input\n"
    "  domain out|in NAME                    take a failure domain out or back in\n"
    "  vm out|in NAME                        take an entry vm out or back in\n"
    "  change ID                             what became of a change\n\n"
    "The key comes from --key-file, or from the environment: SNIPEROCK_KEY, or "
    "SNIPEROCK_KEY_FILE.\n"
    "Exit codes: 0 done, 1 no server answered, 2 usage, 3 refused, 4 conflict, 5 not accepted,\n"
    "6 unsure (ask again with the same change id), 7 not in force everywhere or not recorded yet,\n"
    "8 no permission.\n\n";

std::string environment(const char* name)
{
    const char* value = std::getenv(name);
    return value == nullptr ? "" : value;
}

/** The first line of a file. @throws std::runtime_error */
std::string read_key_file(const std::string& path)
{
    std::ifstream file(path);
    std::string key;
    if (!file || !std::getline(file, key) || key.empty()) {
        throw std::runtime_error("no key in " + path);
    }
    return key;
}

std::string find_key(const po::variables_map& given)
{
    if (given.count("key-file") > 0) {
        return read_key_file(given["key-file"].as<std::string>());
    }
    const auto path = environment("SNIPEROCK_KEY_FILE");
    const auto key = environment("SNIPEROCK_KEY");
    return !key.empty() || path.empty() ? key : read_key_file(path);
}

std::vector<std::string> find_servers(const po::variables_map& given)
{
    if (given.count("server") > 0) {
        return given["server"].as<std::vector<std::string>>();
    }
    std::vector<std::string> servers;
    std::istringstream listed(environment("SNIPEROCK_SERVERS"));
    for (std::string server; std::getline(listed, server, ',');) {
        servers.push_back(server);
    }
    return servers.empty() ? std::vector<std::string>{default_server} : servers;
}

ctl_options to_options(const po::variables_map& given)
{
    ctl_options options;
    options.target = {find_servers(given), find_key(given)};
    if (given.count("words") > 0) {
        options.words = given["words"].as<std::vector<std::string>>();
    }
    options.as_json = given.count("json") > 0;
    options.dry_run = given.count("dry-run") > 0;
    options.force = given.count("force") > 0;
    if (given.count("wait") > 0) {
        options.wait = seconds{given["wait"].as<std::uint32_t>()};
    }
    if (given.count("if-revision") > 0) {
        options.if_revision = given["if-revision"].as<std::uint64_t>();
    }
    if (given.count("change-id") > 0) {
        options.change_id = given["change-id"].as<std::string>();
    }
    return options;
}

int run_ctl_command(const arguments& args)
{
    po::options_description shown("options");
    shown.add_options()("server", po::value<std::vector<std::string>>(),
                        "address:port of an entry vm's administration API; several are tried in "
                        "turn (SNIPEROCK_SERVERS, with commas)");
    shown.add_options()("key-file", po::value<std::string>(), "file with the key");
    shown.add_options()("json", "print the answer as JSON");
    shown.add_options()("dry-run", "test only: show what would change");
    shown.add_options()("force", "accept a take-out that leaves a service without capacity");
    shown.add_options()("wait", po::value<std::uint32_t>()->implicit_value(10),
                        "wait up to this many seconds until the change is in force everywhere");
    shown.add_options()("if-revision", po::value<std::uint64_t>(),
                        "refuse if what the command changes was changed after this revision");
    shown.add_options()("change-id", po::value<std::string>(),
                        "id under which the change runs once at most; made up if missing");
    shown.add_options()("help", "print this help");
    po::options_description all;
    all.add(shown).add_options()("words", po::value<std::vector<std::string>>());
    po::positional_options_description positional;
    positional.add("words", -1);
    po::variables_map given;
    po::store(po::command_line_parser(args).options(all).positional(positional).run(), given);
    po::notify(given);
    if (given.count("help") > 0) {
        std::cout << synopsis << shown;
        return ctl_exit::done;
    }
    return run_ctl(to_options(given));
}

const subcommand_registration ctl_command("ctl", "administer a running system", run_ctl_command);

} // namespace
} // namespace sniperock

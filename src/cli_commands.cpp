/** @file cli_commands.cpp The subcommands that run processes and print tables. */
#include "cli_func.hpp"
#include "cli_options.hpp"
#include "entry_node.hpp"
#include "event_type.hpp"
#include "platform_dialect.hpp"
#include "platform_schema.hpp"
#include "settings_func.hpp"

#include <csignal>
#include <iostream>
#include <thread>

namespace sniperock {
namespace {

namespace po = boost::program_options;

/** Reads the settings of a process that starts. A file that is invalid may be about to be written.
 * @throws invalid_input if it stays invalid. */
entry_settings load_settings_at_start(const std::string& path)
{
    constexpr milliseconds write_time{1000};
    constexpr milliseconds poll_interval{20};
    const auto give_up_at = boot_clock::now() + write_time;
    for (;;) {
        try {
            return load_settings(path);
        }
        catch (const invalid_input& fault) {
            if (boot_clock::now() >= give_up_at) {
                throw;
            }
        }
        std::this_thread::sleep_for(poll_interval);
    }
}

int run_entry(const arguments& args)
{
    po::options_description options("sniperock entry --settings FILE");
    options.add_options()("settings", po::value<std::string>()->required(), "INI file");
    const auto values = parse_options(options, args);
    if (!values) {
        return exit_code::success;
    }
    // Until the node handles it, this signal would end the process.
    std::signal(SIGHUP, SIG_IGN);
    const auto path = (*values)["settings"].as<std::string>();
    auto settings = load_settings_at_start(path);
    set_up_log({settings.vm_name, static_cast<std::size_t>(settings.log_buffer),
                static_cast<std::size_t>(settings.log_rate)});
    {
        entry_node node(std::move(settings), {platform::dialect(), platform::schema()},
                        [path] { return load_settings(path); });
        node.start();
        node.run();
    }
    close_log();
    return exit_code::success;
}

int run_check(const arguments& args)
{
    po::options_description options("sniperock check --settings FILE: reports all errors");
    options.add_options()("settings", po::value<std::string>()->required(), "INI file");
    const auto values = parse_options(options, args);
    if (!values) {
        return exit_code::success;
    }
    load_settings((*values)["settings"].as<std::string>());
    std::cout << "no findings\n";
    return exit_code::success;
}

int run_settings(const arguments& args)
{
    po::options_description options("sniperock settings: lists all settings");
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

const subcommand_registration entry_command("entry", "run the process of one entry VM", run_entry);
const subcommand_registration check_command("check", "check a settings file", run_check);
const subcommand_registration settings_command("settings", "list all settings", run_settings);
const subcommand_registration events_command("events", "print the catalogue of events", run_events);

} // namespace
} // namespace sniperock

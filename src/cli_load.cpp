/** @file cli_load.cpp The subcommand that runs an open-loop load. */
#include "cli_func.hpp"
#include "cli_options.hpp"
#include "finding_type.hpp"
#include "load_func.hpp"
#include "load_verify.hpp"

#include <fstream>
#include <iostream>
#include <sstream>

namespace sniperock {
namespace {

namespace po = boost::program_options;

/** What the command line says. */
struct load_options {
    load_plan plan;
    std::vector<std::string> streams;
    std::string plan_file;
    std::string json_file;
    std::vector<std::string> verify;
    std::uint32_t duration_ms = 10'000;
    std::uint32_t timeout_ms = 2000;
    bool quiet = false;
    bool no_body_check = false;
};

std::string read_file(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf())) {
        throw invalid_input({{path, 0, "", "cannot be read"}});
    }
    return text.str();
}

void declare(po::options_description& options, load_options& into)
{
    auto add = options.add_options();
    auto& plan = into.plan;
    add("target", po::value(&plan.targets)->composing(), "IP:PORT to call; may be repeated");
    add("locate", po::value(&plan.locate)->composing(),
        "IP:PORT to ask which addresses to use; may be repeated");
    add("near", po::value(&plan.near), "the callers' failure domain, for locate");
    add("stream", po::value(&into.streams)->composing(),
        "words such as 'plan=gold key=K host=portal.example method=POST path=/x rate=100 "
        "shape=constant steps=5000:2 body=512 idempotency=yes'; may be repeated");
    add("plan-file", po::value(&into.plan_file), "JSON document {\"streams\": [{...}]}");
    add("duration-ms", po::value(&into.duration_ms)->default_value(into.duration_ms),
        "time in which calls are sent");
    add("timeout-ms", po::value(&into.timeout_ms)->default_value(into.timeout_ms),
        "time that each caller waits");
    add("connections", po::value(&plan.connections)->default_value(plan.connections),
        "most connections at a time; calls above them are sent late");
    add("threads", po::value(&plan.threads)->default_value(plan.threads), "threads");
    add("callers", po::value(&plan.callers)->default_value(plan.callers),
        "callers per thread and service, each with its own locate answers");
    add("retries", po::value(&plan.retries)->default_value(plan.retries),
        "further attempts at calls not run or repeatable");
    add("seed", po::value(&plan.seed)->default_value(plan.seed), "seed of the arrivals");
    add("no-body-check", po::bool_switch(&into.no_body_check),
        "accept any body: the servers are no stand-ins");
    add("verify", po::value(&into.verify)->composing(),
        "IP:PORT of a stand-in server that is asked whether calls told as not run did run in its "
        "process; may be repeated");
    add("json", po::value(&into.json_file), "write the result as JSON to this file; - is stdout");
    add("quiet", po::bool_switch(&into.quiet), "no progress lines");
}

void check(const load_options& given)
{
    finding_list findings;
    if (given.plan.targets.empty() && given.plan.locate.empty()) {
        findings.push_back({"load", 0, "target", "or locate is required"});
    }
    if (given.plan.streams.empty()) {
        findings.push_back({"load", 0, "stream", "or plan-file is required"});
    }
    if (given.plan.threads == 0 || given.plan.connections == 0) {
        findings.push_back({"load", 0, "threads", "and connections must be 1 or more"});
    }
    if (!findings.empty()) {
        throw invalid_input(std::move(findings));
    }
}

void take_streams(load_options& given)
{
    for (const auto& text : given.streams) {
        given.plan.streams.push_back(parse_load_stream(text, "--stream"));
    }
    if (!given.plan_file.empty()) {
        auto more = parse_load_plan(read_file(given.plan_file), given.plan_file);
        std::ranges::move(more, std::back_inserter(given.plan.streams));
    }
}

void write_json(const load_options& given, const load_result& result)
{
    const auto text = format_result_json(given.plan, result) + "\n";
    if (given.json_file == "-") {
        std::cout << text;
        return;
    }
    std::ofstream file(given.json_file, std::ios::binary);
    if (!(file << text)) {
        throw std::runtime_error("cannot write " + given.json_file);
    }
}

/** Asks the stand-in servers about every call that was told as not run. */
void verify(const load_options& given, load_result& result)
{
    for (const auto& address : given.verify) {
        const auto check = verify_not_run(address, result.not_run_ids);
        result.not_run_asked = check.asked;
        result.not_run_ran += check.ran;
    }
    if (!given.verify.empty() && given.json_file != "-") {
        std::cout << "told as not run: " << result.not_run_asked
                  << ", of these ran: " << result.not_run_ran << "\n";
    }
}

int run_load_command(const arguments& args)
{
    load_options given;
    po::options_description options("sniperock load: open-loop load; exit 1 if an answer was "
                                    "crossed, damaged, doubled, or told as not run though it ran");
    declare(options, given);
    if (!parse_options(options, args)) {
        return exit_code::success;
    }
    given.plan.duration = milliseconds{given.duration_ms};
    given.plan.timeout = milliseconds{given.timeout_ms};
    given.plan.progress = !given.quiet;
    given.plan.check_bodies = !given.no_body_check;
    take_streams(given);
    check(given);
    auto result = run_load(given.plan);
    verify(given, result);
    if (given.json_file != "-") {
        std::cout << format_result(result);
    }
    if (!given.json_file.empty()) {
        write_json(given, result);
    }
    const auto total = total_counts(result);
    const bool sound = total.crossed + total.damaged + total.doubled + result.not_run_ran == 0;
    return sound ? exit_code::success : exit_code::failure;
}

const subcommand_registration load_command("load", "run an open-loop load", run_load_command);

} // namespace
} // namespace sniperock

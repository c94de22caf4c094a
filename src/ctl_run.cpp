/** @file ctl_run.cpp Runs the operators' commands against the administration API. */
#include "config_change_id.hpp"
#include "ctl_print.hpp"
#include "ctl_type.hpp"
#include "random_type.hpp"

#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace sniperock {
namespace {

using json = nlohmann::json;

constexpr std::array lists{"plans", "allowances", "services", "admins"};
constexpr milliseconds longest_server_wait{10'000};
constexpr milliseconds poll_pause{100};
constexpr int http_ok = 200;

/** The command line names no command. */
class unknown_command : public std::runtime_error {
public:
    unknown_command() : std::runtime_error("no such command; see sniperock ctl --help") {}
};

std::string read_input(const std::string& path)
{
    std::ostringstream text;
    if (path == "-") {
        text << std::cin.rdbuf();
        return text.str();
    }
    std::ifstream file(path, std::ios::binary);
    if (!file || !(text << file.rdbuf())) {
        throw std::runtime_error(path + " cannot be read");
    }
    return text.str();
}

const std::map<int, int>& exit_codes()
{
    static const std::map<int, int> table{
        {200, ctl_exit::done},          {202, ctl_exit::incomplete},    {400, ctl_exit::refused},
        {401, ctl_exit::no_permission}, {403, ctl_exit::no_permission}, {404, ctl_exit::refused},
        {409, ctl_exit::conflict},      {413, ctl_exit::refused},       {422, ctl_exit::refused},
        {429, ctl_exit::no_permission}, {503, ctl_exit::not_accepted},  {504, ctl_exit::unsure},
    };
    return table;
}

int exit_code_of(int status)
{
    const auto found = exit_codes().find(status);
    return found == exit_codes().end() ? ctl_exit::unreachable : found->second;
}

/** Prints why no answer came. */
int report_no_answer(const ctl_outcome& outcome, const std::string& change_id)
{
    std::ranges::for_each(outcome.failures, [](const std::string& line) {
        std::cerr << "sniperock: " << line << "\n";
    });
    if (!outcome.unsure) {
        std::cerr << "sniperock: no server answered; nothing was sent\n";
        return ctl_exit::unreachable;
    }
    std::cerr << "sniperock: the answer was lost; ask again with --change-id " << change_id << "\n";
    return ctl_exit::unsure;
}

void print_answer(const ctl_options& options, const ctl_reply& reply,
                  std::string (*print)(const json&))
{
    const auto body = json::parse(reply.body, nullptr, false);
    if (options.as_json || body.is_discarded()) {
        std::cout << reply.body;
        return;
    }
    std::cout << (reply.status == http_ok || print == print_change ? print(body)
                                                                   : print_change(body));
}

int run_read(const ctl_options& options, const std::string& path, std::string (*print)(const json&))
{
    const auto outcome = send_request(options.target, {"GET", path, "", "", {}});
    if (!outcome.reply) {
        return report_no_answer(outcome, "");
    }
    print_answer(options, *outcome.reply, print);
    return exit_code_of(outcome.reply->status);
}

std::string print_raw(const json& answer)
{
    return answer.dump(1) + "\n";
}

int run_get_list(const ctl_options& options, const std::string& list)
{
    const auto outcome = send_request(options.target, {"GET", "/v1/" + list, "", "", {}});
    if (!outcome.reply) {
        return report_no_answer(outcome, "");
    }
    print_answer(options, *outcome.reply, print_raw);
    if (outcome.reply->status == http_ok) {
        std::cerr << "revision " << outcome.reply->etag << "\n";
    }
    return exit_code_of(outcome.reply->status);
}

/** True if an answer says that every vm has the change in force. */
bool is_everywhere(const json& answer)
{
    return answer.contains("in_force") && answer.at("recorded").get<bool>() &&
           answer.at("behind").empty() && answer.at("not_reached").empty();
}

/** Asks until a change is in force everywhere or @p until has passed. */
void await_force(const ctl_options& options, const std::string& id, local_time until,
                 ctl_reply& reply)
{
    auto answer = json::parse(reply.body, nullptr, false);
    while (answer.is_object() && answer.contains("in_force") && !is_everywhere(answer) &&
           boot_clock::now() < until) {
        std::this_thread::sleep_for(poll_pause);
        const auto outcome = send_request(options.target, {"GET", "/v1/changes/" + id, "", "", {}});
        if (outcome.reply && outcome.reply->status == http_ok) {
            reply = *outcome.reply;
            answer = json::parse(reply.body, nullptr, false);
        }
    }
}

int run_change(const ctl_options& options, const std::string& method, const std::string& path,
               std::string body)
{
    const auto until = boot_clock::now() + options.wait;
    const auto id = options.change_id.empty()
                        ? make_change_id(system_clock_source::wall_now(), random_seed())
                        : options.change_id;
    const auto wait = std::min(options.wait, longest_server_wait);
    const std::string query = "?wait_ms=" + std::to_string(wait.count()) +
                              (options.dry_run ? "&dry_run=1" : "") +
                              (options.force ? "&force=1" : "");
    const auto outcome = send_request(
        options.target, {method, path + query, std::move(body), id, options.if_revision});
    if (!outcome.reply || (outcome.unsure && outcome.reply->status != 504)) {
        return report_no_answer(outcome, id);
    }
    auto reply = *outcome.reply;
    int code = exit_code_of(reply.status);
    if (options.wait > milliseconds{0} && !options.dry_run) {
        await_force(options, id, until, reply);
        const auto answer = json::parse(reply.body, nullptr, false);
        const bool in_force = code == ctl_exit::done || code == ctl_exit::incomplete;
        if (in_force && answer.is_object()) {
            code = is_everywhere(answer) ? ctl_exit::done : ctl_exit::incomplete;
        }
    }
    print_answer(options, reply, print_change);
    return code;
}

bool is_list(const std::string& word)
{
    return std::ranges::find(lists, word) != lists.end();
}

int run_words(const ctl_options& options)
{
    const auto& words = options.words;
    const auto matches = [&](std::size_t count) { return words.size() == count; };
    if (matches(1) && words[0] == "status") {
        return run_read(options, "/v1/status", print_status);
    }
    if (matches(1) && words[0] == "audit") {
        return run_read(options, "/v1/audit", print_audit);
    }
    if (matches(2) && words[0] == "change") {
        return run_read(options, "/v1/changes/" + words[1], print_change);
    }
    if (matches(2) && is_list(words[0]) && words[1] == "get") {
        return run_get_list(options, words[0]);
    }
    if (matches(3) && is_list(words[0]) && words[1] == "put") {
        return run_change(options, "PUT", "/v1/" + words[0], read_input(words[2]));
    }
    const bool moves = matches(3) && (words[0] == "domain" || words[0] == "vm") &&
                       (words[1] == "out" || words[1] == "in");
    if (moves) {
        return run_change(options, "POST", "/v1/" + words[0] + "s/" + words[2] + "/" + words[1],
                          "");
    }
    throw unknown_command();
}

} // namespace

int run_ctl(const ctl_options& options)
{
    try {
        return run_words(options);
    }
    catch (const unknown_command& fault) {
        std::cerr << "sniperock: " << fault.what() << "\n";
        return ctl_exit::usage;
    }
}

} // namespace sniperock

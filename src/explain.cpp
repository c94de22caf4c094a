/** @file explain.cpp Reconstructs the course of one request from the logs of several VMs. */
#include "explain.hpp"

#include <algorithm>
#include <array>
#include <sstream>
#include <utility>

namespace sniperock {
namespace {

std::string field(const log_fields& line, std::string_view name)
{
    const auto found = line.find(name);
    return found == line.end() ? std::string{} : found->second;
}

/** The second element of the pair whose first is @p key, or @p key if there is none. */
std::string look_up(const auto& table, std::string_view key)
{
    const auto found =
        std::ranges::find(table, key, &std::pair<std::string_view, std::string_view>::first);
    return std::string{found == table.end() ? key : found->second};
}

/** Describes the outcome of a call. */
std::string outcome_text(std::string_view end)
{
    static constexpr std::array<std::pair<std::string_view, std::string_view>, 17> table{{
        {"answered", "the answer of an upstream was forwarded"},
        {"no-route", "no route of the configuration in force matches"},
        {"unknown-account", "no client account of the configuration in force holds its key"},
        {"over-quota", "its client account has used up its quota"},
        {"no-configuration", "this VM had just started and had no current configuration yet"},
        {"no-upstream", "the registry contained no usable upstream"},
        {"no-slot", "no upstream that was probed could answer in time"},
        {"limited", "every usable upstream has reached the limit that it advertises"},
        {"yielded", "the request was shed to leave the slots to more urgent ones"},
        {"quarantined", "several upstreams ended while they ran the same request"},
        {"not-run", "the upstreams that were tried did not run it"},
        {"failed", "it may have run, but no complete answer was received"},
        {"timed-out", "it may have run, and the time limit passed"},
        {"expired", "the deadline passed before it was sent"},
        {"abandoned", "the caller closed its connection"},
        {"leaving", "this VM was shutting down and could not be sure to answer before its exit"},
        {"cut-off", "it may have run, and this VM exited before an answer was received"},
    }};
    return look_up(table, end);
}

void write_choice_basis(std::ostringstream& out, const log_fields& line)
{
    if (field(line, "upstream").empty()) {
        return;
    }
    out << "      chosen because: " << field(line, "busy") << " of " << field(line, "slots")
        << " slots busy, slowness " << field(line, "slowness") << "%"
        << (field(line, "cold") == "1" ? ", cold" : "") << ", report "
        << field(line, "report_age_ms") << " ms old\n";
}

/** Why the call left the failure domain of its VM, if it did. */
void write_domain(std::ostringstream& out, const log_fields& line)
{
    static constexpr std::array<std::pair<std::string_view, std::string_view>, 7> table{{
        {"tour", "some requests look elsewhere without need, so that it stays known"},
        {"full", "too few slots were free at home"},
        {"slow", "the upstreams with a free slot at home were slow"},
        {"failing", "requests failed at home"},
        {"small", "few upstreams are at home"},
        {"gone", "no upstream at home was usable"},
        {"searched", "an earlier round or attempt had not succeeded"},
    }};
    const auto reason = field(line, "domain");
    if (!reason.empty() && reason != "home" && reason != "any") {
        out << "      left the failure domain: " << look_up(table, reason) << "\n";
    }
}

void write_search(std::ostringstream& out, const log_fields& line)
{
    const auto at_limit = field(line, "limit_held");
    const bool has_limited = !at_limit.empty() && at_limit != "0";
    if (field(line, "looks").empty() || (field(line, "looks") == "0" && !has_limited)) {
        return;
    }
    out << "      searched " << field(line, "looks") << " times over " << field(line, "looked_at")
        << " upstreams: " << field(line, "full") << " full, " << field(line, "unknown")
        << " without a fresh report, " << field(line, "cold_held") << " held back as cold"
        << (has_limited ? ", " + at_limit + " at their limit" : "");
    const auto left = field(line, "left");
    if (!left.empty() && left != "0") {
        out << "; " << left << " times a free slot was left to other VMs";
    }
    const auto best = field(line, "best_ms");
    out << (best.empty() ? "; none could accept the request\n"
                         : "; the best estimate was " + best + " ms\n");
}

void write_yield(std::ostringstream& out, const log_fields& line)
{
    if (field(line, "end") == "yielded") {
        out << "      of the more urgent requests of the service, " << field(line, "urgent_refused")
            << "% had found no slot recently\n";
    }
}

/** Describes why a request was not retried. */
std::string denial_text(std::string_view reason)
{
    static constexpr std::array<std::pair<std::string_view, std::string_view>, 5> table{{
        {"most-sends", "it was sent to as many upstreams as allowed"},
        {"no-time", "too little time is left"},
        {"may-have-run", "it may have run, and must not run twice"},
        {"no-budget", "the retry budget is exhausted"},
        {"ended-upstream", "upstreams ended while they ran it"},
    }};
    return look_up(table, reason);
}

void write_hedge(std::ostringstream& out, const log_fields& line)
{
    out << "no answer of " << field(line, "first") << " for " << field(line, "ms")
        << " ms, also sent to " << field(line, "upstream") << "\n";
    write_choice_basis(out, line);
}

void write_event(std::ostringstream& out, const log_fields& line)
{
    out << field(line, "time") << " " << field(line, "vm") << ": ";
    if (field(line, "name") == "attempt_failed") {
        out << "attempt at " << field(line, "upstream") << " (" << field(line, "service")
            << ") ended after " << field(line, "ms") << " ms: " << field(line, "end");
        out << (field(line, "status") == "0" ? "" : ", status " + field(line, "status")) << "\n";
        write_choice_basis(out, line);
        return;
    }
    if (field(line, "name") == "call_hedged") {
        write_hedge(out, line);
        return;
    }
    if (field(line, "name") == "repeat_denied") {
        out << "not sent again: " << denial_text(field(line, "reason")) << "\n";
        return;
    }
    const auto account = field(line, "account");
    out << (account.empty() ? "" : "account " + account + ", ") << "route " << field(line, "route")
        << ", status " << field(line, "status") << " after " << field(line, "ms") << " ms (target "
        << field(line, "target_ms") << "): " << outcome_text(field(line, "end")) << "\n";
    out << "      sent to " << field(line, "sends") << " upstreams, may have run on "
        << field(line, "runs");
    if (!field(line, "upstream").empty()) {
        out << ", last " << field(line, "upstream") << " at " << field(line, "sent_ms") << " ms";
    }
    out << "\n";
    write_choice_basis(out, line);
    write_domain(out, line);
    write_search(out, line);
    write_yield(out, line);
}

/** What the VM knew of a roll-out of the service. */
void write_rollout(std::ostringstream& out, const log_fields& rollout)
{
    static constexpr std::array<std::pair<std::string_view, std::string_view>, 6> table{{
        {"", "running, it got a small share of the requests"},
        {"promoting", "promoting, all requests were moving to it"},
        {"condemned", "condemned, it got no requests"},
        {"rolled-back", "rolled back, it got no requests"},
        {"succeeded", "succeeded, the other versions stop"},
        {"withdrawn", "withdrawn, it got no requests"},
    }};
    out << "      roll-out to version " << field(rollout, "version") << ": "
        << look_up(table, field(rollout, "state")) << "\n";
}

} // namespace

log_fields parse_log_line(std::string_view line)
{
    log_fields fields;
    std::size_t position = 0;
    while (position < line.size()) {
        const auto space = line.find(' ', position);
        const auto equals = line.find('=', position);
        if (equals == std::string_view::npos) {
            break;
        }
        if (space < equals) {
            position = space + 1;
            continue;
        }
        std::string name{line.substr(position, equals - position)};
        std::string value;
        position = equals + 1;
        const bool quoted = position < line.size() && line[position] == '"';
        position += quoted ? 1 : 0;
        while (position < line.size() && line[position] != (quoted ? '"' : ' ')) {
            position += quoted && line[position] == '\\' && position + 1 < line.size() ? 1 : 0;
            value += line[position++];
        }
        position += quoted ? 2 : 1;
        fields.insert_or_assign(std::move(name), std::move(value));
    }
    return fields;
}

void request_trace::read(std::istream& log)
{
    const auto id_field = "id=" + id_;
    for (std::string line; std::getline(log, line);) {
        if (line.find("name=rollout_ordered") != std::string::npos ||
            line.find("name=rollout_changed") != std::string::npos) {
            rollouts_.push_back(parse_log_line(line));
            continue;
        }
        if (line.find(id_field) == std::string::npos) {
            continue;
        }
        auto fields = parse_log_line(line);
        if (field(fields, "id") == id_) {
            lines_.push_back(std::move(fields));
        }
    }
    const auto time_of = [](const log_fields& line) { return field(line, "time"); };
    std::ranges::stable_sort(lines_, {}, time_of);
    std::ranges::stable_sort(rollouts_, {}, time_of);
}

const log_fields* request_trace::rollout_before(const log_fields& line) const
{
    const auto found = std::ranges::find_if(
        rollouts_.rbegin(), rollouts_.rend(), [&line](const log_fields& rollout) {
            return field(rollout, "time") <= field(line, "time") &&
                   field(rollout, "vm") == field(line, "vm") &&
                   field(rollout, "service") == field(line, "service");
        });
    return found == rollouts_.rend() ? nullptr : &*found;
}

std::string request_trace::text() const
{
    if (lines_.empty()) {
        return "no line about " + id_ +
               ": it succeeded and was not sampled, or its lines were dropped by the rate limit\n";
    }
    std::ostringstream out;
    out << "request " << id_ << "\n";
    for (const auto& line : lines_) {
        write_event(out, line);
        if (const auto* rollout = rollout_before(line)) {
            write_rollout(out, *rollout);
        }
    }
    return out.str();
}

} // namespace sniperock

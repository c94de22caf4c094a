/** @file explain.cpp Tells the story of one request from the logs of several VMs. */
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

/** The second of the pair that begins with @p key, or @p key itself. */
std::string look_up(const auto& table, std::string_view key)
{
    const auto found =
        std::ranges::find(table, key, &std::pair<std::string_view, std::string_view>::first);
    return std::string{found == table.end() ? key : found->second};
}

/** What the end of a call means. */
std::string meaning(std::string_view end)
{
    static constexpr std::array<std::pair<std::string_view, std::string_view>, 11> table{{
        {"answered", "an upstream's answer was passed on"},
        {"no-route", "no route of the configuration in force matches"},
        {"no-configuration", "this VM had not read a configuration yet"},
        {"no-upstream", "the registry named no upstream that may be used"},
        {"no-slot", "no upstream that was asked could answer in time"},
        {"yielded", "the slots were left to more urgent requests"},
        {"not-run", "the upstreams that were tried did not run it"},
        {"failed", "it may have run, and no whole answer came"},
        {"timed-out", "it may have run, and the time was up"},
        {"expired", "the time was up before it was sent"},
        {"abandoned", "the caller closed its connection"},
    }};
    return look_up(table, end);
}

void tell_basis(std::ostringstream& out, const log_fields& line)
{
    if (field(line, "upstream").empty()) {
        return;
    }
    out << "      chosen because: " << field(line, "busy") << " of " << field(line, "slots")
        << " slots busy, slowness " << field(line, "slowness") << "%"
        << (field(line, "cold") == "1" ? ", cold" : "") << ", report "
        << field(line, "report_age_ms") << " ms old\n";
}

void tell_search(std::ostringstream& out, const log_fields& line)
{
    if (field(line, "looks").empty() || field(line, "looks") == "0") {
        return;
    }
    out << "      looked " << field(line, "looks") << " times at " << field(line, "looked_at")
        << " upstreams: " << field(line, "full") << " full, " << field(line, "unknown")
        << " without a fresh report, " << field(line, "cold_held") << " held back as cold";
    const auto best = field(line, "best_ms");
    out << (best.empty() ? "; none could take it\n"
                         : "; the best expected to take " + best + " ms\n");
}

void tell_yield(std::ostringstream& out, const log_fields& line)
{
    if (field(line, "end") == "yielded") {
        out << "      of the more urgent requests of the service, " << field(line, "urgent_refused")
            << "% had found no slot lately\n";
    }
}

/** What a reason not to send a request once more means. */
std::string meaning_of_denial(std::string_view reason)
{
    static constexpr std::array<std::pair<std::string_view, std::string_view>, 4> table{{
        {"most-sends", "as many upstreams as allowed have had it"},
        {"no-time", "too little time is left"},
        {"may-have-run", "it may have run, and may not run twice"},
        {"no-budget", "the budget of repeats is spent"},
    }};
    return look_up(table, reason);
}

void tell_hedge(std::ostringstream& out, const log_fields& line)
{
    out << "no answer of " << field(line, "first") << " for " << field(line, "ms")
        << " ms, sent to " << field(line, "upstream") << " too\n";
    tell_basis(out, line);
}

void tell(std::ostringstream& out, const log_fields& line)
{
    out << field(line, "time") << " " << field(line, "vm") << ": ";
    if (field(line, "name") == "attempt_failed") {
        out << "attempt at " << field(line, "upstream") << " (" << field(line, "service")
            << ") ended after " << field(line, "ms") << " ms: " << field(line, "end");
        out << (field(line, "status") == "0" ? "" : ", status " + field(line, "status")) << "\n";
        tell_basis(out, line);
        return;
    }
    if (field(line, "name") == "call_hedged") {
        tell_hedge(out, line);
        return;
    }
    if (field(line, "name") == "repeat_denied") {
        out << "not sent once more: " << meaning_of_denial(field(line, "reason")) << "\n";
        return;
    }
    out << "route " << field(line, "route") << ", status " << field(line, "status") << " after "
        << field(line, "ms") << " ms (target " << field(line, "target_ms")
        << "): " << meaning(field(line, "end")) << "\n";
    out << "      sent to " << field(line, "sends") << " upstreams, may have run on "
        << field(line, "runs");
    if (!field(line, "upstream").empty()) {
        out << ", last " << field(line, "upstream") << " at " << field(line, "sent_ms") << " ms";
    }
    out << "\n";
    tell_basis(out, line);
    tell_search(out, line);
    tell_yield(out, line);
}

} // namespace

log_fields parse_log_line(std::string_view line)
{
    log_fields fields;
    std::size_t at = 0;
    while (at < line.size()) {
        const auto space = line.find(' ', at);
        const auto equals = line.find('=', at);
        if (equals == std::string_view::npos) {
            break;
        }
        if (space < equals) {
            at = space + 1;
            continue;
        }
        std::string name{line.substr(at, equals - at)};
        std::string value;
        at = equals + 1;
        const bool quoted = at < line.size() && line[at] == '"';
        at += quoted ? 1 : 0;
        while (at < line.size() && line[at] != (quoted ? '"' : ' ')) {
            at += quoted && line[at] == '\\' && at + 1 < line.size() ? 1 : 0;
            value += line[at++];
        }
        at += quoted ? 2 : 1;
        fields.insert_or_assign(std::move(name), std::move(value));
    }
    return fields;
}

void request_story::read(std::istream& log)
{
    const auto mark = "id=" + id_;
    for (std::string line; std::getline(log, line);) {
        if (line.find(mark) == std::string::npos) {
            continue;
        }
        auto fields = parse_log_line(line);
        if (field(fields, "id") == id_) {
            lines_.push_back(std::move(fields));
        }
    }
    std::ranges::stable_sort(lines_, {}, [](const auto& line) { return field(line, "time"); });
}

std::string request_story::text() const
{
    if (lines_.empty()) {
        return "no line about " + id_ +
               ": it went well and was not sampled, or its lines were dropped by the rate limit\n";
    }
    std::ostringstream out;
    out << "request " << id_ << "\n";
    std::ranges::for_each(lines_, [&out](const auto& line) { tell(out, line); });
    return out.str();
}

} // namespace sniperock

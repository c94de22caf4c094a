/** @file wire_dialect.cpp Built-in wire dialect and parsing helpers for all dialects. */
#include "wire_dialect.hpp"

#include <nlohmann/json.hpp>

#include <charconv>
#include <cmath>
#include <ranges>

namespace sniperock {
namespace {

/** Parses a load such as "running=1;waiting=0;slots=3;slowness=100"; slowness is in percent. */
std::optional<load_report> parse_builtin_load(std::string_view text)
{
    load_report report;
    for (const auto part : std::views::split(text, ';')) {
        const std::string_view field(part.begin(), part.end());
        const auto equals = field.find('=');
        const auto value = parse_unsigned(field.substr(equals + 1));
        if (equals == std::string_view::npos || !value) {
            return std::nullopt;
        }
        const auto name = field.substr(0, equals);
        if (name == "running") {
            report.running = static_cast<unsigned>(*value);
        }
        else if (name == "waiting") {
            report.waiting = static_cast<unsigned>(*value);
        }
        else if (name == "slots") {
            report.slots = static_cast<unsigned>(*value);
        }
        else if (name == "slowness") {
            report.slowness = static_cast<double>(*value) / 100;
        }
    }
    return report;
}

directory_query parse_builtin_query(std::string_view target)
{
    return {query_value(target, "host"), query_value(target, "region"),
            query_value(target, "near")};
}

std::string format_builtin_response(const std::vector<std::string>& addresses, milliseconds ttl)
{
    return nlohmann::json{{"vms", addresses}, {"keep_ms", ttl.count()}}.dump();
}

std::string format_builtin_query(const directory_query& query)
{
    return "/locate?host=" + query.host + "&region=" + query.region +
           "&near=" + query.failure_domain;
}

std::optional<directory_response> parse_builtin_response(const std::string& body)
{
    try {
        const auto response = nlohmann::json::parse(body);
        return directory_response{response.at("vms").get<std::vector<std::string>>(),
                                  milliseconds{response.at("keep_ms").get<std::int64_t>()}};
    }
    catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

int hex_digit(char ch)
{
    if (ch >= '0' && ch <= '9') {
        return ch - '0';
    }
    const char lower = static_cast<char>(ch | 0x20);
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

std::string percent_decode(std::string_view text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool escape = text[i] == '%' && i + 2 < text.size() && hex_digit(text[i + 1]) >= 0 &&
                            hex_digit(text[i + 2]) >= 0;
        if (escape) {
            result += static_cast<char>(hex_digit(text[i + 1]) * 16 + hex_digit(text[i + 2]));
            i += 2;
        }
        else {
            result += text[i] == '+' ? ' ' : text[i];
        }
    }
    return result;
}

} // namespace

const wire_dialect& builtin_dialect()
{
    static const wire_dialect dialect{
        .attempt_id = "X-Call-Id",
        .deadline_ms = "X-Timeout-Ms",
        .expected_upstream = "X-Expect-Upstream",
        .signature = "X-Answer-Signature",
        .load = "X-Upstream-Load",
        .limit = "X-Upstream-Limit",
        .not_executed = "X-Not-Run",
        .upstream_id = "X-Upstream-Id",
        .cold_ms = "X-Cold-Ms",
        .account = "X-Account",
        .account_scheme = "Bearer",
        .ready_path = "/readyz",
        .directory_path = "/locate",
        .parse_load = parse_builtin_load,
        .parse_directory_query = parse_builtin_query,
        .format_directory_response = format_builtin_response,
        .format_directory_query = format_builtin_query,
        .parse_directory_response = parse_builtin_response,
    };
    return dialect;
}

std::string query_value(std::string_view target, std::string_view name)
{
    const auto start = target.find('?');
    if (start == std::string_view::npos) {
        return {};
    }
    for (const auto part : std::views::split(target.substr(start + 1), '&')) {
        const std::string_view field(part.begin(), part.end());
        if (field.size() > name.size() && field.starts_with(name) && field[name.size()] == '=') {
            return percent_decode(field.substr(name.size() + 1));
        }
    }
    return {};
}

std::optional<double> parse_rate(std::string_view text)
{
    double value = 0;
    const auto [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed);
    const bool is_rate = error == std::errc{} && end == text.data() + text.size() &&
                         std::isfinite(value) && value >= 0;
    return is_rate ? std::optional{value} : std::nullopt;
}

std::optional<std::uint64_t> parse_unsigned(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

} // namespace sniperock

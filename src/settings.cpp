/** @file settings.cpp Parses INI text into settings, driven by the settings table. */
#include "net_endpoint.hpp"
#include "settings_func.hpp"
#include "table/settings_table.hpp"

#include <ini.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstring>
#include <fstream>
#include <iomanip>
#include <optional>
#include <set>
#include <sstream>

namespace sniperock {
namespace {

/** Maximum length of an INI line in bytes; the INI library truncates longer ones. */
constexpr std::size_t max_line_bytes = 198;

std::string full_name(const setting_descriptor& row)
{
    return std::string{row.section} + "." + std::string{row.name};
}

std::string range_text(const setting_descriptor& row)
{
    const bool is_text = std::holds_alternative<std::string entry_settings::*>(row.target);
    const std::string unit = is_text ? "characters" : std::string{row.unit};
    return std::to_string(row.min) + " to " + std::to_string(row.max) + " " + unit;
}

/** Parses a number: whole, decimal, or with an exponent. */
std::optional<double> parse_number(std::string_view text)
{
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size() || !std::isfinite(value)) {
        return std::nullopt;
    }
    return value;
}

/** Units of time that may follow the number of a setting in ms. */
constexpr std::array<std::pair<std::string_view, double>, 2> time_units{{{"ms", 1}, {"s", 1000}}};

/** Removes a unit of time from the end of a text. Templates that can only append text make ms of
 * whole seconds by three zeros; behind a fraction, as in 2.5000, these stand for the unit as well.
 * @return the unit's milliseconds; 1 if there is none. */
double take_time_unit(std::string_view& text)
{
    constexpr std::string_view appended_zeros = "000";
    constexpr double ms_per_s = 1000;
    const auto point = text.find('.');
    if (point != std::string_view::npos && text.ends_with(appended_zeros) &&
        text.size() - point > appended_zeros.size() + 1) {
        text.remove_suffix(appended_zeros.size());
        return ms_per_s;
    }
    const auto unit = std::ranges::find_if(
        time_units, [&](const auto& item) { return text.ends_with(item.first); });
    if (unit == time_units.end()) {
        return 1;
    }
    text.remove_suffix(unit->first.size());
    text = text.substr(0, text.find_last_not_of(' ') + 1);
    return unit->second;
}

/** Assigns a number or a time. @return the error message if the text is invalid. */
std::optional<std::string> assign_number(entry_settings& settings, const setting_descriptor& row,
                                         std::string_view text)
{
    const auto* const time = std::get_if<milliseconds entry_settings::*>(&row.target);
    auto digits = text;
    const double unit = time == nullptr ? 1 : take_time_unit(digits);
    if (digits.empty() && row.flag == setting_flag::optional) {
        // What fills the file in may have no value; the default holds.
        return std::nullopt;
    }
    const auto* const whole = std::get_if<std::int64_t entry_settings::*>(&row.target);
    const auto number = parse_number(digits);
    if (!number || (whole != nullptr && std::trunc(*number) != *number)) {
        return "\"" + std::string{text} + "\" is not a " + (whole != nullptr ? "whole " : "") +
               "number; allowed are " + range_text(row);
    }
    const double value = *number * unit;
    if (!(value >= static_cast<double>(row.min) && value <= static_cast<double>(row.max))) {
        return std::string{text} + " is out of range; allowed are " + range_text(row);
    }
    if (whole != nullptr) {
        settings.*(*whole) = static_cast<std::int64_t>(value);
    }
    else if (time != nullptr) {
        // Decimal fractions such as 2.3 are not exact.
        constexpr double rounding_error = 1e-6;
        settings.*(*time) = milliseconds{static_cast<std::int64_t>(value + rounding_error)};
    }
    else {
        settings.*std::get<double entry_settings::*>(row.target) = value;
    }
    return std::nullopt;
}

/** Assigns one value. @return the error message if the text is invalid. */
std::optional<std::string> assign(entry_settings& settings, const setting_descriptor& row,
                                  std::string_view text)
{
    if (const auto* member = std::get_if<std::string entry_settings::*>(&row.target)) {
        const auto size = static_cast<std::int64_t>(text.size());
        if (size < row.min || size > row.max) {
            return "needs " + range_text(row) + ", has " + std::to_string(size);
        }
        if (row.unit == endpoint_unit && !parse_endpoint(text)) {
            return "\"" + std::string{text} + "\" is not an IP address with a port";
        }
        settings.*(*member) = std::string{text};
        return std::nullopt;
    }
    return assign_number(settings, row, text);
}

/** State of one parse, passed through the callbacks of the INI library. */
struct parse_state {
    std::string_view remaining;
    std::string source;
    int line = 0;
    entry_settings settings;
    std::set<std::string> seen;
    finding_list findings;

    void report(std::string location, std::string message)
    {
        findings.push_back({source, line, std::move(location), std::move(message)});
    }
};

/** Passes the next line to the INI library and counts it. */
char* read_line(char* buffer, int size, void* stream)
{
    auto& state = *static_cast<parse_state*>(stream);
    if (state.remaining.empty()) {
        return nullptr;
    }
    ++state.line;
    const auto end = state.remaining.find('\n');
    auto line = state.remaining.substr(0, end);
    state.remaining.remove_prefix(end == std::string_view::npos ? state.remaining.size() : end + 1);
    if (line.size() > max_line_bytes) {
        state.report("", "line is longer than " + std::to_string(max_line_bytes) + " bytes");
        line = {};
    }
    const auto length = std::min(line.size(), static_cast<std::size_t>(size) - 2);
    std::memcpy(buffer, line.data(), length);
    buffer[length] = '\n';
    buffer[length + 1] = '\0';
    return buffer;
}

int handle_value(void* user, const char* section, const char* name, const char* value)
{
    auto& state = *static_cast<parse_state*>(user);
    const auto row = std::ranges::find_if(settings_table, [&](const setting_descriptor& item) {
        return item.section == section && item.name == name;
    });
    const std::string location = std::string{section} + "." + name;
    if (row == settings_table.end()) {
        state.report(location, "unknown setting; see sniperock settings");
        return 1;
    }
    if (!state.seen.insert(location).second) {
        state.report(location, "is given twice");
        return 1;
    }
    if (auto fault = assign(state.settings, *row, value)) {
        state.report(location, std::move(*fault));
    }
    return 1;
}

std::string value_text(const entry_settings& settings, const setting_descriptor& row)
{
    if (const auto* text = std::get_if<std::string entry_settings::*>(&row.target)) {
        return settings.*(*text);
    }
    if (const auto* number = std::get_if<std::int64_t entry_settings::*>(&row.target)) {
        return std::to_string(settings.*(*number));
    }
    if (const auto* real = std::get_if<double entry_settings::*>(&row.target)) {
        std::ostringstream text;
        text << settings.*(*real);
        return text.str();
    }
    return std::to_string((settings.*std::get<milliseconds entry_settings::*>(row.target)).count());
}

} // namespace

entry_settings parse_settings(std::string_view text, const std::string& source)
{
    parse_state state{text, source, 0, {}, {}, {}};
    for (const auto& row : settings_table) {
        if (!row.default_text.empty()) {
            assign(state.settings, row, row.default_text);
        }
    }
    const int error_line = ini_parse_stream(read_line, &state, handle_value, &state);
    if (error_line > 0) {
        state.findings.push_back({source, error_line, "", "is neither [section] nor name = value"});
    }
    state.line = 0;
    for (const auto& row : settings_table) {
        if (row.flag == setting_flag::required && !state.seen.contains(full_name(row))) {
            state.report(full_name(row), "is required: " + std::string{row.help});
        }
    }
    if (!state.findings.empty()) {
        throw invalid_input(std::move(state.findings));
    }
    return std::move(state.settings);
}

entry_settings load_settings(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf())) {
        throw invalid_input({{path, 0, "", "cannot be read"}});
    }
    return parse_settings(text.str(), path);
}

std::string format_settings(const entry_settings& settings)
{
    std::ostringstream text;
    for (const auto& row : settings_table) {
        text << "[" << row.section << "]\n"
             << row.name << " = " << value_text(settings, row) << "\n";
    }
    return text.str();
}

std::string list_settings()
{
    std::ostringstream text;
    for (const auto& row : settings_table) {
        const std::string shown_default =
            row.flag == setting_flag::required ? "required" : std::string{row.default_text};
        // Two blanks at least, however long a value is.
        text << std::left << std::setw(28) << full_name(row) << "  " << std::setw(14) << row.unit
             << "  " << std::setw(14) << shown_default << "  " << std::setw(34) << range_text(row)
             << "  " << row.help << "\n";
    }
    return text.str();
}

} // namespace sniperock

/** @file settings_func.hpp Parsing, validation and listing of settings. */
#pragma once

#include "settings_type.hpp"

#include <string>
#include <string_view>

namespace sniperock {

/**
 * Parses INI text according to the settings table.
 * @param text content of the file.
 * @param source name of the input in findings.
 * @throws invalid_input with all findings and their lines.
 */
entry_settings parse_settings(std::string_view text, const std::string& source);

/** Reads and parses an INI file. @throws invalid_input if the file is invalid or cannot be read. */
entry_settings load_settings(const std::string& path);

/** Formats the settings as INI text that parses to the same values. */
std::string format_settings(const entry_settings& settings);

/** Formats a table of all settings with unit, default, range and description. */
std::string list_settings();

} // namespace sniperock

/** @file settings_func.hpp Parsing, checking and listing of settings. */
#pragma once

#include "settings_type.hpp"

#include <string>
#include <string_view>

namespace sniperock {

/**
 * Parses INI text by the settings table.
 * @param text the whole file.
 * @param source name used in findings.
 * @throws invalid_input with every finding and its line.
 */
entry_settings parse_settings(std::string_view text, const std::string& source);

/** Reads and parses an INI file. @throws invalid_input also if the file cannot be read. */
entry_settings load_settings(const std::string& path);

/** The settings as INI text that parses back to the same values. */
std::string format_settings(const entry_settings& settings);

/** A table of every setting with unit, default, range and text. */
std::string list_settings();

} // namespace sniperock

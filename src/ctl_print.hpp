/** @file ctl_print.hpp Answers of the administration API as text for people. */
#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace sniperock {

/** What became of a change: outcome, differences, findings, where it is in force. */
std::string print_change(const nlohmann::json& answer);
/** Revision, what is out, and every vm's revision. */
std::string print_status(const nlohmann::json& answer);
/** One line for each recent change, newest last. */
std::string print_audit(const nlohmann::json& answer);

} // namespace sniperock

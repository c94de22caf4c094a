/** @file config_func.hpp Lists as JSON: parsing with findings, and formatting. */
#pragma once

#include "config_type.hpp"
#include "finding_type.hpp"

#include <string>

namespace sniperock {

/** Parses the list of plans. @throws invalid_input with every finding and its JSON pointer. */
std::vector<plan> parse_plans(const std::string& json, const std::string& source);
/** Parses the list of allowances. @throws invalid_input */
std::vector<allowance> parse_allowances(const std::string& json, const std::string& source);
/** Parses the list of services. @throws invalid_input */
std::vector<service_entry> parse_services(const std::string& json, const std::string& source);
/** Parses what is out of service. @throws invalid_input */
availability parse_availability(const std::string& json, const std::string& source);
/** Parses the list of operators. @throws invalid_input */
std::vector<admin_entry> parse_admins(const std::string& json, const std::string& source);

std::string format_plans(const std::vector<plan>& plans);
std::string format_allowances(const std::vector<allowance>& allowances);
std::string format_services(const std::vector<service_entry>& services);
std::string format_availability(const availability& out);
std::string format_admins(const std::vector<admin_entry>& admins);

/** Checks what one list says of another: unknown plans, services, failure domains. */
finding_list check_references(const config_snapshot& snapshot);

} // namespace sniperock

/** @file admin_json.hpp The administration API's answers as JSON. */
#pragma once

#include "admin_type.hpp"

#include <nlohmann/json.hpp>

namespace sniperock {

nlohmann::json to_json(const change_record& record);
nlohmann::json to_json(const change_answer& answer);
nlohmann::json to_json(const std::vector<vm_position>& positions);
nlohmann::json to_json(const unrecorded_changes& changes);

/** HTTP status that goes with an outcome. */
int http_status(const change_result& result);

} // namespace sniperock

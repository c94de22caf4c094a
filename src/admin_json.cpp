/** @file admin_json.cpp The administration API's answers as JSON. */
#include "admin_json.hpp"

#include <algorithm>
#include <map>

namespace sniperock {
namespace {

using json = nlohmann::json;

const std::map<change_outcome, int>& statuses()
{
    static const std::map<change_outcome, int> table{
        {change_outcome::accepted, 200},      {change_outcome::repeated, 200},
        {change_outcome::tested, 200},        {change_outcome::unrecorded, 202},
        {change_outcome::refused, 422},       {change_outcome::conflict, 409},
        {change_outcome::bad_change_id, 400}, {change_outcome::not_accepted, 503},
        {change_outcome::unsure, 504},
    };
    return table;
}

json to_json(const finding_list& findings)
{
    json list = json::array();
    for (const auto& item : findings) {
        list.push_back({{"source", item.source},
                        {"line", item.line},
                        {"place", item.place},
                        {"message", item.message}});
    }
    return list;
}

bool names_revision(change_outcome outcome)
{
    return outcome == change_outcome::accepted || outcome == change_outcome::repeated;
}

} // namespace

json to_json(const change_record& record)
{
    return {{"change_id", record.id},
            {"who", record.who},
            {"what", record.what},
            {"revision", record.revision.value},
            {"at_us", record.at_us},
            {"touches", record.touches},
            {"supersedes", record.supersedes},
            {"before", record.before},
            {"after", record.after},
            {"bytes_before", record.bytes_before},
            {"bytes_after", record.bytes_after}};
}

json to_json(const change_answer& answer)
{
    const auto& result = answer.result;
    json body{{"outcome", to_name(result.outcome)},
              {"change_id", answer.id},
              {"reason", result.reason},
              {"differences", result.differences},
              {"warnings", result.warnings},
              {"findings", to_json(result.findings)}};
    if (result.record && names_revision(result.outcome)) {
        body["revision"] = result.record->revision.value;
    }
    if (result.other) {
        body["other"] = to_json(*result.other);
    }
    if (names_revision(result.outcome) || result.outcome == change_outcome::unrecorded) {
        body["recorded"] = result.outcome != change_outcome::unrecorded;
        body["accepted_after_us"] = answer.accepted_after.count();
        body["in_force_after_us"] = answer.in_force_after.count();
        body["in_force"] = answer.force.in_force;
        body["behind"] = answer.force.behind;
        body["not_reached"] = answer.force.not_reached;
    }
    return body;
}

json to_json(const std::vector<vm_position>& positions)
{
    json list = json::array();
    for (const auto& item : positions) {
        list.push_back({{"vm", item.vm},
                        {"failure_domain", item.failure_domain},
                        {"revision", item.revision.value},
                        {"unrecorded", item.unrecorded},
                        {"reached", item.reached}});
    }
    return list;
}

json to_json(const unrecorded_changes& changes)
{
    json list = json::array();
    for (const auto& item : changes) {
        list.push_back({{"change_id", item.id},
                        {"what", to_name(item.kind)},
                        {"target", item.target},
                        {"by", item.by},
                        {"at_us", item.at_us},
                        {"base_revision", item.base_revision}});
    }
    return list;
}

int http_status(const change_result& result)
{
    return statuses().at(result.outcome);
}

force_report report_force(const std::vector<vm_position>& positions, config_revision revision,
                          const std::string& id)
{
    force_report report;
    for (const auto& item : positions) {
        const bool holds = id.empty()
                               ? item.revision >= revision
                               : std::ranges::find(item.unrecorded, id) != item.unrecorded.end();
        auto& list = !item.reached ? report.not_reached : holds ? report.in_force : report.behind;
        list.push_back(item.vm);
    }
    return report;
}

} // namespace sniperock

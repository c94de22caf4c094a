/** @file ctl_print.cpp Answers of the administration API as text for people. */
#include "ctl_print.hpp"

#include <iomanip>
#include <numeric>
#include <sstream>

namespace sniperock {
namespace {

using json = nlohmann::json;

std::string joined(const json& list)
{
    std::string text;
    for (const auto& item : list) {
        text += (text.empty() ? "" : ", ") + item.get<std::string>();
    }
    return text.empty() ? "none" : text;
}

std::string value_text(const json& value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

void print_lines(std::ostream& out, const json& answer, const char* field, const char* before)
{
    if (answer.contains(field)) {
        for (const auto& line : answer.at(field)) {
            out << before << value_text(line) << "\n";
        }
    }
}

void print_record(std::ostream& out, const json& record)
{
    out << "revision " << record.at("revision") << "  " << value_text(record.at("who")) << "  "
        << value_text(record.at("what")) << "  change " << value_text(record.at("change_id"))
        << "  " << value_text(record.at("before")).substr(0, 8) << " -> "
        << value_text(record.at("after")).substr(0, 8) << "\n";
}

void print_force(std::ostream& out, const json& answer)
{
    if (!answer.contains("in_force")) {
        return;
    }
    out << "in force on " << answer.at("in_force").size()
        << " vms: " << joined(answer.at("in_force")) << "\n";
    if (!answer.at("behind").empty()) {
        out << "not yet on: " << joined(answer.at("behind")) << "\n";
    }
    if (!answer.at("not_reached").empty()) {
        out << "not reached: " << joined(answer.at("not_reached")) << "\n";
    }
    if (!answer.at("recorded").get<bool>()) {
        out << "not recorded yet: the store does not answer\n";
    }
}

} // namespace

std::string print_change(const json& answer)
{
    std::ostringstream out;
    out << value_text(answer.value("outcome", json{"refused"}));
    if (answer.contains("revision")) {
        out << " as revision " << answer.at("revision");
    }
    if (answer.contains("change_id")) {
        out << ", change id " << value_text(answer.at("change_id"));
    }
    out << "\n";
    const auto reason = answer.value("reason", std::string{});
    if (!reason.empty()) {
        out << reason << "\n";
    }
    print_lines(out, answer, "differences", "  ");
    print_lines(out, answer, "warnings", "warning: ");
    if (answer.contains("findings")) {
        for (const auto& item : answer.at("findings")) {
            out << value_text(item.at("source")) << ": " << value_text(item.at("place")) << ": "
                << value_text(item.at("message")) << "\n";
        }
    }
    if (answer.contains("other")) {
        out << "the other change: ";
        print_record(out, answer.at("other"));
    }
    print_force(out, answer);
    return out.str();
}

std::string print_status(const json& answer)
{
    std::ostringstream out;
    out << "revision " << answer.at("revision") << ", " << answer.at("parts") << " parts, "
        << answer.at("bytes") << " bytes\n"
        << "failure domains out: " << joined(answer.at("out").at("domains_out")) << "\n"
        << "vms out: " << joined(answer.at("out").at("vms_out")) << "\n";
    for (const auto& item : answer.at("unrecorded")) {
        out << "not recorded yet: " << value_text(item.at("what")) << " "
            << value_text(item.at("target")) << " by " << value_text(item.at("by")) << ", change "
            << value_text(item.at("change_id")) << "\n";
    }
    for (const auto& vm : answer.at("vms")) {
        out << "  " << std::left << std::setw(20) << value_text(vm.at("vm")) << std::setw(16)
            << value_text(vm.at("failure_domain")) << "revision " << std::setw(8)
            << vm.at("revision").dump() << (vm.at("reached").get<bool>() ? "" : "not heard lately")
            << "\n";
    }
    return out.str();
}

std::string print_audit(const json& answer)
{
    std::ostringstream out;
    for (const auto& record : answer.at("changes")) {
        print_record(out, record);
    }
    for (const auto& item : answer.at("unrecorded")) {
        out << "not recorded yet  " << value_text(item.at("by")) << "  "
            << value_text(item.at("what")) << " " << value_text(item.at("target")) << "  change "
            << value_text(item.at("change_id")) << "\n";
    }
    return out.str();
}

} // namespace sniperock

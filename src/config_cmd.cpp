/** @file config_cmd.cpp Commands that change the configuration. */
#include "config_cmd.hpp"
#include "config_difference.hpp"
#include "config_func.hpp"
#include "config_head_func.hpp"
#include "config_state.hpp"
#include "store_type.hpp"

#include <algorithm>
#include <functional>
#include <iterator>
#include <set>

namespace sniperock {
namespace {

/** State of one test pass. */
struct test_pass {
    const config_snapshot& before;
    const config_change& change;
    const fleet_view& fleet;
    tested_change result;
    finding_list findings;

    void report(std::string place, std::string message)
    {
        findings.push_back(
            {std::string{to_name(change.kind)}, 0, std::move(place), std::move(message)});
    }
};

void test_plans(test_pass& pass)
{
    pass.result.after.plans = parse_plans(pass.change.body, part_name::plans);
}

void test_allowances(test_pass& pass)
{
    pass.result.after.allowances = parse_allowances(pass.change.body, part_name::allowances);
}

void test_services(test_pass& pass)
{
    auto& services = pass.result.after.services;
    services = parse_services(pass.change.body, "services");
    std::ranges::sort(services, {}, &service_entry::name);
}

void test_admins(test_pass& pass)
{
    pass.result.after.admins = parse_admins(pass.change.body, part_name::admins);
    const auto administers = [](const admin_entry& item) {
        return item.role == admin_role::administer && !item.key_hashes.empty();
    };
    if (std::ranges::none_of(pass.result.after.admins, administers)) {
        pass.report("/admins", "needs one with the role administer and a key");
    }
}

bool is_known_domain(const test_pass& pass)
{
    const auto& name = pass.change.target;
    const bool has_vm =
        std::ranges::find(pass.fleet, name, &fleet_vm::failure_domain) != pass.fleet.end();
    return has_vm || std::ranges::any_of(pass.before.services, [&](const auto& service) {
               return std::ranges::find(service.servers, name, &server_entry::failure_domain) !=
                      service.servers.end();
           });
}

/** True if a service has a server in a failure domain that is not out. */
bool has_capacity(const service_entry& service, const availability& out)
{
    return std::ranges::any_of(service.servers, [&](const server_entry& server) {
        return !out.domains_out.contains(server.failure_domain);
    });
}

bool has_usable_vm(const fleet_view& fleet, const availability& out)
{
    return std::ranges::any_of(fleet, [&](const fleet_vm& vm) {
        return !out.vms_out.contains(vm.name) && !out.domains_out.contains(vm.failure_domain);
    });
}

/** Refuses, or warns of when forced, a take-out that leaves nothing to serve with. */
void test_capacity(test_pass& pass)
{
    const auto& before = pass.before.out;
    const auto& after = pass.result.after.out;
    std::vector<std::string> lost;
    for (const auto& service : pass.before.services) {
        if (has_capacity(service, before) && !has_capacity(service, after)) {
            lost.push_back("service " + service.name + " would have no server left");
        }
    }
    if (has_usable_vm(pass.fleet, before) && !has_usable_vm(pass.fleet, after)) {
        lost.emplace_back("no entry vm would be left");
    }
    for (auto& text : lost) {
        if (pass.change.force) {
            pass.result.warnings.push_back(std::move(text));
        }
        else {
            pass.report("/" + pass.change.target, text + "; force it if this is meant");
        }
    }
}

void set_target(test_pass& pass)
{
    set_availability(pass.result.after.out, pass.change.kind, pass.change.target);
    if (is_take_out(pass.change.kind)) {
        test_capacity(pass);
    }
}

void test_domain(test_pass& pass)
{
    const bool is_out = pass.before.out.domains_out.contains(pass.change.target);
    if (!is_out && !is_known_domain(pass)) {
        pass.report("/" + pass.change.target, "no server or entry vm is in such a failure domain");
        return;
    }
    set_target(pass);
}

void test_vm(test_pass& pass)
{
    const auto& name = pass.change.target;
    const bool is_out = pass.before.out.vms_out.contains(name);
    const bool is_known = std::ranges::find(pass.fleet, name, &fleet_vm::name) != pass.fleet.end();
    if (!is_out && !is_known) {
        pass.report("/" + name, "no entry vm has this name");
        return;
    }
    set_target(pass);
}

/** The test of each command. */
const std::map<change_kind, std::function<void(test_pass&)>>& command_tests()
{
    static const std::map<change_kind, std::function<void(test_pass&)>> tests{
        {change_kind::put_plans, test_plans},
        {change_kind::put_allowances, test_allowances},
        {change_kind::put_services, test_services},
        {change_kind::put_admins, test_admins},
        {change_kind::domain_out, test_domain},
        {change_kind::domain_in, test_domain},
        {change_kind::vm_out, test_vm},
        {change_kind::vm_in, test_vm},
    };
    return tests;
}

/** Finds the parts that differ and refuses those that are too large for the store. */
void compare_parts(test_pass& pass)
{
    const auto before = format_parts(pass.before);
    const auto after = format_parts(pass.result.after);
    auto& parts = pass.result.parts;
    for (const auto& [name, text] : after) {
        const auto old = before.find(name);
        if (old != before.end() && old->second == text) {
            continue;
        }
        if (text.size() > max_object_bytes) {
            pass.report("/" + name, "has " + std::to_string(text.size()) + " bytes; allowed are " +
                                        std::to_string(max_object_bytes));
        }
        parts.emplace(name, text);
    }
    for (const auto& [name, text] : before) {
        if (!after.contains(name)) {
            parts.emplace(name, "");
        }
    }
    if (is_availability_change(pass.change.kind)) {
        pass.result.touches = {availability_element(pass.change.kind, pass.change.target)};
        return;
    }
    std::ranges::transform(parts, std::back_inserter(pass.result.touches),
                           [](const auto& part) { return part.first; });
}

} // namespace

tested_change test_change(const config_snapshot& before, const config_change& change,
                          const fleet_view& fleet)
{
    test_pass pass{before, change, fleet, {before, {}, {}, {}, {}}, {}};
    if (change.body.size() > max_object_bytes) {
        pass.report("/", "the list has " + std::to_string(change.body.size()) +
                             " bytes; allowed are " + std::to_string(max_object_bytes));
        throw invalid_input(std::move(pass.findings));
    }
    command_tests().at(change.kind)(pass);
    std::ranges::copy(check_references(pass.result.after), std::back_inserter(pass.findings));
    compare_parts(pass);
    if (!pass.findings.empty()) {
        throw invalid_input(std::move(pass.findings));
    }
    pass.result.differences = list_differences(before, pass.result.after);
    return std::move(pass.result);
}

bool is_availability_change(change_kind kind)
{
    return kind == change_kind::domain_out || kind == change_kind::domain_in ||
           kind == change_kind::vm_out || kind == change_kind::vm_in;
}

bool is_take_out(change_kind kind)
{
    return kind == change_kind::domain_out || kind == change_kind::vm_out;
}

std::string availability_element(change_kind kind, const std::string& target)
{
    const bool of_domain = kind == change_kind::domain_out || kind == change_kind::domain_in;
    return (of_domain ? "domain." : "vm.") + target;
}

void set_availability(availability& out, change_kind kind, const std::string& target)
{
    const bool of_domain = kind == change_kind::domain_out || kind == change_kind::domain_in;
    auto& names = of_domain ? out.domains_out : out.vms_out;
    if (is_take_out(kind)) {
        names.insert(target);
    }
    else {
        names.erase(target);
    }
}

std::string describe_change(const config_change& change)
{
    std::string text{to_name(change.kind)};
    if (!change.target.empty()) {
        text += " " + change.target;
    }
    return change.force ? text + " (forced)" : text;
}

std::string request_digest(const config_change& change)
{
    return content_digest(std::string{to_name(change.kind)} + " " + change.target + "\n" +
                          change.body);
}

} // namespace sniperock

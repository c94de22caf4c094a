/** @file config_cmd.hpp Commands that change the configuration: one test for dry runs and for
 * execution. */
#pragma once

#include "config_type.hpp"
#include "enum_table.hpp"
#include "finding_type.hpp"

#include <array>
#include <map>
#include <string>
#include <vector>

namespace sniperock {

/** What a command does. */
enum class change_kind {
    put_plans,
    put_allowances,
    put_services,
    put_admins,
    domain_out,
    domain_in,
    vm_out,
    vm_in,
};

template <>
inline constexpr std::array enum_names<change_kind>{
    enum_name<change_kind>{change_kind::put_plans, "put_plans"},
    enum_name<change_kind>{change_kind::put_allowances, "put_allowances"},
    enum_name<change_kind>{change_kind::put_services, "put_services"},
    enum_name<change_kind>{change_kind::put_admins, "put_admins"},
    enum_name<change_kind>{change_kind::domain_out, "domain_out"},
    enum_name<change_kind>{change_kind::domain_in, "domain_in"},
    enum_name<change_kind>{change_kind::vm_out, "vm_out"},
    enum_name<change_kind>{change_kind::vm_in, "vm_in"},
};

/** A command. */
struct config_change {
    change_kind kind{};
    /** Failure domain or vm; empty for lists. */
    std::string target;
    /** The new list as JSON; empty for failure domains and vms. */
    std::string body;
    /** Accept a take-out that leaves a service without capacity. */
    bool force = false;
};

/** What the commands need to know of the entry vms. */
struct fleet_vm {
    std::string name;
    std::string failure_domain;
};
using fleet_view = std::vector<fleet_vm>;

/** What a command would do. */
struct tested_change {
    config_snapshot after;
    /** New contents by part name; empty text removes the part. */
    std::map<std::string, std::string> parts;
    /** Changed elements, as in change_record::touches. */
    std::vector<std::string> touches;
    /** One line for each difference. */
    std::vector<std::string> differences;
    /** What the operator should know; for a forced take-out what it leaves without capacity. */
    std::vector<std::string> warnings;
};

/**
 * Tests a command against a snapshot and the known vms.
 * @throws invalid_input with every finding and its place.
 */
tested_change test_change(const config_snapshot& before, const config_change& change,
                          const fleet_view& fleet);

/** True for commands that may hold before they are recorded: failure domains and vms. */
bool is_availability_change(change_kind kind);
/** True for commands that take out. */
bool is_take_out(change_kind kind);
/** The element that an availability change sets: "domain.NAME" or "vm.NAME". */
std::string availability_element(change_kind kind, const std::string& target);
/** Sets one failure domain or vm. */
void set_availability(availability& out, change_kind kind, const std::string& target);
/** Command and target as one text. */
std::string describe_change(const config_change& change);
/** Tells one request from another; forcing it makes it no other request. */
std::string request_digest(const config_change& change);

} // namespace sniperock

/** @file admin_type.hpp What the administration API needs of the process, and its answers. */
#pragma once

#include "config_pending.hpp"
#include "config_repository_type.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace sniperock {

/** One entry vm and what it has in force. */
struct vm_position {
    std::string vm;
    std::string failure_domain;
    config_revision revision;
    /** Ids of unrecorded changes that hold on it. */
    std::vector<std::string> unrecorded;
    /** True for this vm and for those heard lately. */
    bool reached = false;
};

/** Where a change is in force. */
struct force_report {
    std::vector<std::string> in_force;
    /** Reached, but not there yet. */
    std::vector<std::string> behind;
    /** Listed, but not heard lately. */
    std::vector<std::string> not_reached;
};

/** How a request ended, and where it is in force. */
struct change_answer {
    change_result result;
    std::string id;
    force_report force;
    /** From the request's arrival until the change was accepted, or held unrecorded here. */
    microseconds accepted_after{0};
    /** From then until all vms had it in force, or the wait was over. */
    microseconds in_force_after{0};
};

/** How a request is to be run. */
struct run_options {
    bool dry_run = false;
    /** Longest wait until all vms have the change in force. */
    milliseconds wait{0};
};

/** What the administration API calls; each may be called from any thread. */
struct admin_backend {
    std::function<std::shared_ptr<const config_state>()> state;
    std::function<std::shared_ptr<const config_snapshot>()> snapshot;
    std::function<unrecorded_changes()> unrecorded;
    std::function<std::vector<vm_position>()> positions;
    /** Makes a change id for a request that has none. */
    std::function<std::string()> new_change_id;
    std::function<change_answer(const change_request&, const run_options&)> run;
};

/** Where @p revision, or the unrecorded change @p id, is in force. */
force_report report_force(const std::vector<vm_position>& positions, config_revision revision,
                          const std::string& id);

} // namespace sniperock

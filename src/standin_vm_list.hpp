/** @file standin_vm_list.hpp The platform's list of vms as it was a while ago. */
#pragma once

#include "clock_type.hpp"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace sniperock {

/** Keeps what vms announce and shows it late; the caller serialises access. */
class lagging_vm_list {
public:
    /**
     * @param lag age of what is shown.
     * @param keep time after which a vm that is not renewed vanishes; 0 keeps it for good.
     */
    lagging_vm_list(milliseconds lag, milliseconds keep) : lag_(lag), keep_(keep) {}

    /** Enters or renews a vm. */
    void announce(const std::string& name, std::string record, local_time now);
    /** Forgets a vm; shown after the lag. */
    void remove(const std::string& name, local_time now);
    /** The records shown at @p now, by name. */
    [[nodiscard]] std::vector<std::string> shown(local_time now) const;

private:
    struct entry {
        local_time at;
        /** Empty once removed. */
        std::string record;
    };

    void prune(std::deque<entry>& history, local_time now) const;

    milliseconds lag_;
    milliseconds keep_;
    std::map<std::string, std::deque<entry>> vms_;
};

} // namespace sniperock

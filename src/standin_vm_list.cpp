/** @file standin_vm_list.cpp The platform's list of vms as it was a while ago. */
#include "standin_vm_list.hpp"

#include <algorithm>
#include <iterator>

namespace sniperock {

void lagging_vm_list::announce(const std::string& name, std::string record, local_time now)
{
    auto& history = vms_[name];
    history.push_back({now, std::move(record)});
    prune(history, now);
}

void lagging_vm_list::remove(const std::string& name, local_time now)
{
    if (vms_.contains(name)) {
        announce(name, {}, now);
    }
}

void lagging_vm_list::prune(std::deque<entry>& history, local_time now) const
{
    const auto seen = now - lag_;
    while (history.size() > 1 && history.at(1).at <= seen) {
        history.pop_front();
    }
}

std::vector<std::string> lagging_vm_list::shown(local_time now) const
{
    const auto seen = now - lag_;
    std::vector<std::string> records;
    for (const auto& [name, history] : vms_) {
        const auto newer = std::ranges::upper_bound(history, seen, {}, &entry::at);
        if (newer == history.begin()) {
            continue;
        }
        const auto& last = *std::prev(newer);
        const bool vanished = keep_.count() > 0 && seen - last.at > keep_;
        if (!last.record.empty() && !vanished) {
            records.push_back(last.record);
        }
    }
    return records;
}

} // namespace sniperock

/** @file choice_room.hpp Keeps VMs from choosing the same free slot in the same moment. */
#pragma once

#include "random_type.hpp"
#include "upstream_type.hpp"

#include <map>
#include <string>

namespace sniperock {

/**
 * Estimates per service how many VMs choose the same free slot in the same moment.
 *
 * VMs choose from reports that are some milliseconds old and do not see each other's choices. None
 * of them sends to an upstream without a free slot, so that requests which wait at upstreams have
 * been sent there by VMs that saw the same slot. While some wait, a VM takes a free slot only at
 * random, less often the more of them wait; otherwise it searches again, or is refused. So the VMs
 * divide the slots without messages, and queues stay short. While none wait, each free slot is
 * taken.
 */
class slot_contention {
public:
    /** Records a load report of an upstream of @p service. */
    void record(const std::string& service, const load_report& report);
    /** Requests that wait at an upstream of the service, on average. */
    [[nodiscard]] double average_waiting(const std::string& service) const;
    /** Decides at random whether this VM takes one of the free slots of @p item, which has at least
     * one. */
    [[nodiscard]] bool takes_slot(const std::string& service, const upstream& item,
                                  random_engine& random) const;

private:
    std::map<std::string, double, std::less<>> services_;
};

} // namespace sniperock

/** @file member_reach.hpp What the VMs of the fleet report of the upstreams that they reach. */
#pragma once

#include "clock_type.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace sniperock {

/** Which services a VM cannot reach, as observed by itself. */
struct reach_report {
    /** Address of the VM. */
    std::string address;
    /** It reaches no upstream at all. */
    bool isolated = false;
    /** Hashes of the names of the services that it cannot reach. */
    std::vector<std::uint64_t> unreachable{};
    /** Time since it observed this. */
    milliseconds age{0};

    [[nodiscard]] bool reaches_all() const { return !isolated && unreachable.empty(); }
};

/** Time for which a report holds; a VM that cannot reach something repeats it with each heartbeat.
 */
inline constexpr seconds reach_report_lifetime{6};

/** Hash by which a service is named in reports. */
std::uint64_t service_hash(std::string_view service);

/** The latest reports of other VMs; a VM without a recent one reaches everything. */
class member_reach {
public:
    /** @param self address of this VM, whose own state is not taken from reports. */
    explicit member_reach(std::string self) : self_(std::move(self)) {}

    void apply(const reach_report& report, local_time now);
    /** True if the VM has reported lately that it cannot reach the service. */
    [[nodiscard]] bool unreachable(std::string_view address, std::string_view service,
                                   local_time now) const;
    /** True if the VM has reported lately that it reaches no upstream. */
    [[nodiscard]] bool isolated(std::string_view address, local_time now) const;
    /** Up to @p max_reports recent reports of VMs that cannot reach something, to be passed on. */
    [[nodiscard]] std::vector<reach_report> reports(std::size_t max_reports, local_time now) const;

private:
    struct record {
        reach_report report;
        local_time observed_at;
    };

    [[nodiscard]] const record* recent(std::string_view address, local_time now) const;

    std::string self_;
    std::map<std::string, record, std::less<>> records_;
};

} // namespace sniperock

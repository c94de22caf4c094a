/** @file member_reach.cpp What the VMs of the fleet report of the upstreams that they reach. */
#include "member_reach.hpp"

#include "hash_func.hpp"

#include <algorithm>

namespace sniperock {
namespace {

/** A report is newer only by more than this, since its age lacks the time that it was on its way.
 */
constexpr milliseconds report_delay{250};
/** Services in one report; a VM that reaches none says so in another way. */
constexpr std::size_t max_services = 64;

} // namespace

std::uint64_t service_hash(std::string_view service)
{
    return stable_hash(service);
}

void member_reach::apply(const reach_report& report, local_time now)
{
    if (report.address == self_ || report.age < milliseconds{0} ||
        report.age >= reach_report_lifetime || report.unreachable.size() > max_services) {
        return;
    }
    std::erase_if(records_, [now](const auto& item) {
        return now - item.second.observed_at >= reach_report_lifetime;
    });
    const auto observed_at = now - report.age;
    const auto found = records_.find(report.address);
    // What the VM says itself is the newest state.
    const bool first_hand = report.age == milliseconds{0};
    if (found != records_.end() && !first_hand &&
        observed_at <= found->second.observed_at + report_delay) {
        return;
    }
    if (found != records_.end() || !report.reaches_all()) {
        records_.insert_or_assign(report.address, record{report, observed_at});
    }
}

const member_reach::record* member_reach::recent(std::string_view address, local_time now) const
{
    const auto found = records_.find(address);
    const bool known =
        found != records_.end() && now - found->second.observed_at < reach_report_lifetime;
    return known ? &found->second : nullptr;
}

bool member_reach::unreachable(std::string_view address, std::string_view service,
                               local_time now) const
{
    const auto* const known = recent(address, now);
    return known != nullptr &&
           (known->report.isolated ||
            std::ranges::find(known->report.unreachable, service_hash(service)) !=
                known->report.unreachable.end());
}

bool member_reach::isolated(std::string_view address, local_time now) const
{
    const auto* const known = recent(address, now);
    return known != nullptr && known->report.isolated;
}

std::vector<reach_report> member_reach::reports(std::size_t max_reports, local_time now) const
{
    std::vector<reach_report> result;
    for (const auto& [address, item] : records_) {
        const auto age = std::chrono::duration_cast<milliseconds>(now - item.observed_at);
        if (age >= reach_report_lifetime || item.report.reaches_all() ||
            result.size() >= max_reports) {
            continue;
        }
        result.push_back(item.report);
        // Only the VM itself reports without an age.
        result.back().age = std::max(age, milliseconds{1});
    }
    return result;
}

} // namespace sniperock

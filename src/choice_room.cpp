/** @file choice_room.cpp Keeps VMs from choosing the same free slot in the same moment. */
#include "choice_room.hpp"

#include "choice_score.hpp"

#include <algorithm>

namespace sniperock {
namespace {

/** Weight of the newest report in the moving average, which thus covers about two selection
 * rounds. */
constexpr double newest_weight = 0.1;
/** Average up to which no slot is left free: single requests wait in calm times as well. */
constexpr double tolerated_waiting = 0.1;
/** Free slots that are left for each waiting request: a slot left free is found by the next look of
 * some VM within milliseconds, while a request that waits is late and makes others wait. */
constexpr double slots_left_per_waiting = 4;
/** Maximum number of services with averages; bounded because operators add and remove services at
 * any time. */
constexpr std::size_t max_services = 1024;

} // namespace

void slot_contention::record(const std::string& service, const load_report& report)
{
    if (services_.size() >= max_services && !services_.contains(service)) {
        services_.clear();
    }
    auto& average = services_[service];
    average += newest_weight * (report.waiting - average);
}

double slot_contention::average_waiting(const std::string& service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? 0 : found->second;
}

bool slot_contention::takes_slot(const std::string& service, const upstream& item,
                                 random_engine& random) const
{
    const double waiting = average_waiting(service);
    if (waiting <= tolerated_waiting) {
        return true;
    }
    const auto slots = std::max(item.entry.slots, 1U);
    const auto busy = busy_slots(item);
    const double free = busy < slots ? slots - busy : 1;
    std::uniform_real_distribution<double> uniform{0, 1};
    return uniform(random) < free / (free + waiting * slots_left_per_waiting);
}

} // namespace sniperock

/** @file config_pending.cpp Changes of availability that hold before the store has recorded them.
 */
#include "config_pending.hpp"
#include "config_change_id.hpp"
#include "config_head_func.hpp"

#include <algorithm>
#include <iterator>
#include <map>
#include <ranges>
#include <set>
#include <tuple>

namespace sniperock {
namespace {

bool contains(const std::vector<std::string>& ids, const std::string& id)
{
    return std::ranges::find(ids, id) != ids.end();
}

/** A bring-back gives way to any recorded change of the same element that its maker did not know.
 */
bool gives_way_to(const unrecorded_change& change, const change_record& record)
{
    return !is_take_out(change.kind) && record.revision.value > change.base_revision &&
           contains(record.touches, availability_element(change.kind, change.target));
}

bool is_settled(const unrecorded_change& change, const config_head& head)
{
    return std::ranges::any_of(head.recent, [&](const change_record& record) {
        return record.id == change.id || contains(record.supersedes, change.id) ||
               gives_way_to(change, record);
    });
}

/** True if the head has forgotten changes that are as old as this one. */
bool is_expired(const unrecorded_change& change, const config_head& head)
{
    const auto made = change_id_time(change.id);
    return !made ||
           judge_change_id(change.id, head, from_unix_us(*made)) == change_id_verdict::too_old;
}

} // namespace

bool merge_unrecorded(unrecorded_changes& into, const unrecorded_changes& from)
{
    const auto known = into.size();
    std::ranges::copy_if(from, std::back_inserter(into), [&](const unrecorded_change& change) {
        return std::ranges::find(into, change.id, &unrecorded_change::id) == into.end();
    });
    std::ranges::sort(into, {}, [](const unrecorded_change& change) {
        return std::tie(change.at_us, change.id);
    });
    return into.size() != known;
}

unrecorded_changes drop_settled(unrecorded_changes& changes, const config_head& head)
{
    unrecorded_changes dropped;
    const auto settled = std::ranges::stable_partition(changes, [&](const auto& change) {
        return !is_settled(change, head) && !is_expired(change, head);
    });
    dropped.assign(settled.begin(), settled.end());
    changes.erase(settled.begin(), settled.end());
    return dropped;
}

unrecorded_changes winning_changes(const unrecorded_changes& changes)
{
    std::set<std::string> superseded;
    for (const auto& change : changes) {
        superseded.insert(change.supersedes.begin(), change.supersedes.end());
    }
    std::map<std::string, unrecorded_change> winners;
    for (const auto& change : changes) {
        if (superseded.contains(change.id)) {
            continue;
        }
        const auto [winner, is_first] =
            winners.try_emplace(availability_element(change.kind, change.target), change);
        if (!is_first && is_take_out(change.kind)) {
            winner->second = change;
        }
    }
    unrecorded_changes result;
    std::ranges::copy(winners | std::views::values, std::back_inserter(result));
    return result;
}

availability effective_availability(const availability& recorded, const unrecorded_changes& changes)
{
    availability result = recorded;
    for (const auto& winner : winning_changes(changes)) {
        set_availability(result, winner.kind, winner.target);
    }
    return result;
}

std::vector<std::string> ids_of_element(const unrecorded_changes& changes,
                                        const std::string& element)
{
    std::vector<std::string> ids;
    for (const auto& change : changes) {
        if (availability_element(change.kind, change.target) == element) {
            ids.push_back(change.id);
        }
    }
    return ids;
}

} // namespace sniperock

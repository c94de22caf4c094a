/** @file config_pending.hpp Changes of availability that hold before the store has recorded them.
 */
#pragma once

#include "config_cmd.hpp"
#include "config_head_type.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace sniperock {

/** A change of availability that was taken while the store did not answer. */
struct unrecorded_change {
    std::string id;
    change_kind kind{};
    std::string target;
    /** Operator and the vm that took it. */
    std::string by;
    /** When it was taken, in microseconds since 1970. */
    std::int64_t at_us = 0;
    /** Revision that its taker had in force. */
    std::uint64_t base_revision = 0;
    bool force = false;
    /** Unrecorded changes of the same element that its taker knew and that it replaces. */
    std::vector<std::string> supersedes;

    friend bool operator==(const unrecorded_change&, const unrecorded_change&) = default;
};

using unrecorded_changes = std::vector<unrecorded_change>;

/**
 * Adds changes not yet known, in the order of time and id.
 * @return true if any was new.
 */
bool merge_unrecorded(unrecorded_changes& into, const unrecorded_changes& from);

/**
 * Removes those that @p head has recorded, that a recorded change supersedes, or whose id is too
 * old to be run; and a bring-back whose element a later recorded change set.
 * @return what was removed.
 */
unrecorded_changes drop_settled(unrecorded_changes& changes, const config_head& head);

/**
 * The one change of each element that is in force. Of the changes that no other one supersedes a
 * take-out wins, since its maker did not know the others.
 */
unrecorded_changes winning_changes(const unrecorded_changes& changes);

/** What is in force: recorded availability with the winning changes on top. */
availability effective_availability(const availability& recorded,
                                    const unrecorded_changes& changes);

/** Ids of the unrecorded changes of one element. */
std::vector<std::string> ids_of_element(const unrecorded_changes& changes,
                                        const std::string& element);

} // namespace sniperock

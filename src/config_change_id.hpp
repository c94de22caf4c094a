/** @file config_change_id.hpp Change ids: when they were made, and how long they can be settled. */
#pragma once

#include "clock_type.hpp"
#include "config_head_type.hpp"

#include <optional>
#include <string>

namespace sniperock {

/** Most that the clocks of operators and entry vms may differ. */
inline constexpr seconds max_clock_skew{5};
/** Longest change id, in bytes. */
inline constexpr std::size_t max_change_id_bytes = 64;

/** Whether a change id may be run. */
enum class change_id_verdict { usable, malformed, from_the_future, too_old };

/** A new id: milliseconds since 1970, '-', 16 random hex digits. */
std::string make_change_id(wall_time now, std::uint64_t random);

/** When an id was made, in microseconds since 1970; empty if it is malformed. */
std::optional<std::int64_t> change_id_time(const std::string& id);

/**
 * Judges an id that the head does not hold. An id older than the newest change that the head has
 * forgotten might have been run already, so it is refused.
 */
change_id_verdict judge_change_id(const std::string& id, const config_head& head, wall_time now);

} // namespace sniperock

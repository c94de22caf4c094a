/** @file member_incarnation.hpp Incarnations that grow with each start of a vm's process. */
#pragma once

#include "clock_type.hpp"
#include "store_type.hpp"
#include "strong_id.hpp"

#include <string>
#include <vector>

namespace sniperock {

/**
 * The incarnation of a process that starts now: the wall time in milliseconds, then random bits.
 * @param vm this vm's name.
 * @param listed the platform's list, empty if it could not be read; a wall clock that went back
 * is corrected by what it shows of @p vm.
 * @param random any random number.
 */
incarnation new_incarnation(const std::string& vm, const std::vector<vm_record>& listed,
                            wall_time now, std::uint64_t random);

} // namespace sniperock

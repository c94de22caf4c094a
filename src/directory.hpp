/** @file directory.hpp Which VMs callers are told to connect to. */
#pragma once

#include "member_table.hpp"
#include "random_type.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace sniperock {

/**
 * Addresses with ports for a caller in @p failure_domain: the ready VMs of its own failure domain
 * while there are enough of them to lose one, otherwise all ready ones; this VM's own if none is
 * ready.
 * @param members the living VMs.
 * @param self this VM.
 * @param random picks those that are named if there are more than an answer holds.
 */
std::vector<std::string> directory_addresses(const std::vector<member_entry>& members,
                                             std::string_view failure_domain,
                                             const member_entry& self, random_engine& random);

} // namespace sniperock

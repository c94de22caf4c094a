/** @file directory.hpp Selects the VMs whose addresses callers receive. */
#pragma once

#include "member_table.hpp"
#include "random_type.hpp"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace sniperock {

/**
 * Addresses with ports for a caller in @p failure_domain: the ready VMs of its own failure domain
 * if there are enough of them to tolerate the loss of one, otherwise all ready VMs; this VM's own
 * if none is ready.
 * @param members the VMs that are alive.
 * @param is_isolated true for a VM that reaches no upstream: it is left out if there are others.
 * @param self this VM.
 * @param random samples the addresses if there are more than an answer may hold.
 */
std::vector<std::string>
directory_addresses(const std::vector<member_entry>& members,
                    const std::function<bool(const member_entry&)>& is_isolated,
                    std::string_view failure_domain, const member_entry& self,
                    random_engine& random);

} // namespace sniperock

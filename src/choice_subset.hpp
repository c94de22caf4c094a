/** @file choice_subset.hpp Deterministic subset of a large service that one VM uses. */
#pragma once

#include "choice_score.hpp"

#include <cstddef>
#include <string_view>
#include <vector>

namespace sniperock {

/**
 * Selects at most @p max_size candidates, the same ones on every call: those with the highest hash
 * of VM and upstream, with upstreams of the VM's own failure domain preferred for part of the
 * places. With many VMs and upstreams, each VM then uses each upstream of its subset often enough
 * to keep connections open, while all VMs together use all upstreams evenly.
 */
std::vector<candidate> stable_subset(std::vector<candidate> all, std::size_t max_size,
                                     std::string_view vm_name);

} // namespace sniperock

/** @file choice_subset.hpp The upstreams of a large service that one VM works with. */
#pragma once

#include "choice_score.hpp"

#include <cstddef>
#include <string_view>
#include <vector>

namespace sniperock {

/**
 * Keeps @p most candidates, the same ones each time: those with the highest hash of the VM and the
 * upstream, near ones first. With many VMs and upstreams, a VM then comes back to each of its
 * upstreams often enough to keep connections to them; all VMs together use every upstream alike.
 */
std::vector<candidate> stable_subset(std::vector<candidate> all, std::size_t most,
                                     std::string_view vm);

} // namespace sniperock

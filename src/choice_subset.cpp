/** @file choice_subset.cpp The upstreams of a large service that one VM works with. */
#include "choice_subset.hpp"

#include "hash_func.hpp"

#include <algorithm>

namespace sniperock {
namespace {

/** Part of the subset that is taken from the VM's own failure domain, if it has as many. */
constexpr double near_part = 0.5;

} // namespace

std::vector<candidate> stable_subset(std::vector<candidate> all, std::size_t most,
                                     std::string_view vm)
{
    if (all.size() <= most) {
        return all;
    }
    const auto seed = stable_hash(vm);
    std::ranges::sort(all, std::ranges::greater{}, [seed](const candidate& what) {
        return stable_hash(what.item->entry.id, seed);
    });
    const auto near_most = static_cast<std::size_t>(static_cast<double>(most) * near_part);
    std::size_t near_count = 0;
    std::ranges::stable_partition(
        all, [&](const candidate& what) { return what.near && near_count++ < near_most; });
    all.resize(most);
    return all;
}

} // namespace sniperock

/** @file choice_subset.cpp The upstreams of a large service that one VM works with. */
#include "choice_subset.hpp"

#include "hash_func.hpp"

#include <algorithm>
#include <cstdint>
#include <ranges>

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
    struct ranked {
        std::uint64_t hash;
        candidate what;
    };
    const auto seed = stable_hash(vm);
    std::vector<ranked> order;
    order.reserve(all.size());
    for (const auto& what : all) {
        order.push_back({stable_hash(what.item->entry.id, seed), what});
    }
    // The best near ones come first, as many as their part; the rest by hash alone.
    const auto near_most = static_cast<std::size_t>(static_cast<double>(most) * near_part);
    const auto far =
        std::ranges::partition(order, [](const ranked& item) { return item.what.near; });
    const auto near_count = order.size() - far.size();
    const auto near_taken = static_cast<std::ptrdiff_t>(std::min(near_count, near_most));
    const auto first_left = order.begin() + near_taken;
    std::ranges::nth_element(order.begin(), first_left,
                             order.begin() + static_cast<std::ptrdiff_t>(near_count),
                             std::ranges::greater{}, &ranked::hash);
    std::ranges::nth_element(first_left, order.begin() + static_cast<std::ptrdiff_t>(most),
                             order.end(), std::ranges::greater{}, &ranked::hash);
    std::vector<candidate> subset;
    subset.reserve(most);
    std::ranges::transform(order | std::views::take(most), std::back_inserter(subset),
                           &ranked::what);
    return subset;
}

} // namespace sniperock

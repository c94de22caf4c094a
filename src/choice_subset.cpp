/** @file choice_subset.cpp Deterministic subset of a large service that one VM uses. */
#include "choice_subset.hpp"

#include "hash_func.hpp"

#include <algorithm>
#include <cstdint>
#include <ranges>

namespace sniperock {
namespace {

/** Fraction of the subset that is taken from the VM's own failure domain, if the domain has enough
 * upstreams. */
constexpr double same_domain_fraction = 0.5;

} // namespace

std::vector<candidate> stable_subset(std::vector<candidate> all, std::size_t max_size,
                                     std::string_view vm_name)
{
    if (all.size() <= max_size) {
        return all;
    }
    struct ranked {
        std::uint64_t hash;
        candidate option;
    };
    const auto seed = stable_hash(vm_name);
    std::vector<ranked> order;
    order.reserve(all.size());
    for (const auto& option : all) {
        order.push_back({stable_hash(option.item->entry.id, seed), option});
    }
    // The highest hashes of the same failure domain come first, up to their fraction of the subset;
    // the remaining places are filled by hash alone.
    const auto max_same_domain =
        static_cast<std::size_t>(static_cast<double>(max_size) * same_domain_fraction);
    const auto other_domains =
        std::ranges::partition(order, [](const ranked& item) { return item.option.same_domain; });
    const auto same_domain_count = order.size() - other_domains.size();
    const auto same_domain_taken =
        static_cast<std::ptrdiff_t>(std::min(same_domain_count, max_same_domain));
    const auto first_remaining = order.begin() + same_domain_taken;
    std::ranges::nth_element(order.begin(), first_remaining,
                             order.begin() + static_cast<std::ptrdiff_t>(same_domain_count),
                             std::ranges::greater{}, &ranked::hash);
    std::ranges::nth_element(first_remaining, order.begin() + static_cast<std::ptrdiff_t>(max_size),
                             order.end(), std::ranges::greater{}, &ranked::hash);
    std::vector<candidate> subset;
    subset.reserve(max_size);
    std::ranges::transform(order | std::views::take(max_size), std::back_inserter(subset),
                           &ranked::option);
    return subset;
}

} // namespace sniperock

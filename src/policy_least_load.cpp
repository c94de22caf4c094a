/** @file policy_least_load.cpp Policies by reported load: "least_load" and "two_choices". */
#include "policy_type.hpp"

#include <algorithm>
#include <random>
#include <ranges>

namespace sniperock {
namespace {

/** Reported load and this vm's own calls, as a part of the slots. */
double load_of(const server_sight& server)
{
    const double slots = server.reported_slots > 0 ? server.reported_slots : server.limit;
    return (server.reported_in_flight + server.in_flight) / slots;
}

std::size_t draw(std::size_t size, random_engine& random)
{
    return std::uniform_int_distribution<std::size_t>{0, size - 1}(random);
}

class least_load_policy final : public balance_policy {
public:
    [[nodiscard]] bool uses_ownership() const override { return false; }

    std::optional<std::size_t> choose(std::span<const server_sight> usable,
                                      random_engine& random) override
    {
        if (usable.empty()) {
            return std::nullopt;
        }
        // A random start breaks ties, or all vms would choose the same server.
        const std::size_t start = draw(usable.size(), random);
        auto order =
            std::views::iota(std::size_t{0}, usable.size()) |
            std::views::transform([&](std::size_t at) { return (start + at) % usable.size(); });
        return *std::ranges::min_element(order, {},
                                         [&](std::size_t at) { return load_of(usable[at]); });
    }
};

class two_choices_policy final : public balance_policy {
public:
    [[nodiscard]] bool uses_ownership() const override { return false; }

    std::optional<std::size_t> choose(std::span<const server_sight> usable,
                                      random_engine& random) override
    {
        if (usable.empty()) {
            return std::nullopt;
        }
        const std::size_t first = draw(usable.size(), random);
        const std::size_t second = draw(usable.size(), random);
        return load_of(usable[second]) < load_of(usable[first]) ? second : first;
    }
};

const policy_registration least_load("least_load",
                                     [] { return std::make_unique<least_load_policy>(); });
const policy_registration two_choices("two_choices",
                                      [] { return std::make_unique<two_choices_policy>(); });

} // namespace
} // namespace sniperock

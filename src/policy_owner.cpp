/** @file policy_owner.cpp Policy "owner": exact slots by ownership, fastest free server first. */
#include "policy_type.hpp"

#include <algorithm>
#include <ranges>

namespace sniperock {
namespace {

/** Expected time of one more call: recent latency, longer the fuller the server is. */
double expected_time(const server_sight& server)
{
    const double load = (server.in_flight + 1.0) / server.limit;
    return static_cast<double>(server.cost.count()) * (1 + load);
}

class owner_policy final : public balance_policy {
public:
    [[nodiscard]] bool uses_ownership() const override { return true; }

    std::optional<std::size_t> choose(std::span<const server_sight> usable,
                                      random_engine& /*random*/) override
    {
        const auto best = std::ranges::min_element(usable, {}, expected_time);
        if (best == usable.end()) {
            return std::nullopt;
        }
        return static_cast<std::size_t>(best - usable.begin());
    }
};

const policy_registration registration("owner", [] { return std::make_unique<owner_policy>(); });

} // namespace
} // namespace sniperock

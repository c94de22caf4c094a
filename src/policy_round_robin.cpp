/** @file policy_round_robin.cpp Policy "round_robin": every vm takes all servers in turn. */
#include "policy_type.hpp"

namespace sniperock {
namespace {

class round_robin_policy final : public balance_policy {
public:
    [[nodiscard]] bool uses_ownership() const override { return false; }

    std::optional<std::size_t> choose(std::span<const server_sight> usable,
                                      random_engine& /*random*/) override
    {
        if (usable.empty()) {
            return std::nullopt;
        }
        return turn_++ % usable.size();
    }

private:
    std::size_t turn_ = 0;
};

const policy_registration registration("round_robin",
                                       [] { return std::make_unique<round_robin_policy>(); });

} // namespace
} // namespace sniperock

/** @file directory.cpp Which VMs callers are told to connect to. */
#include "directory.hpp"

#include <algorithm>
#include <iterator>

namespace sniperock {
namespace {

/** With fewer VMs than this in its failure domain, a caller is told of all. */
constexpr std::size_t enough_near = 2;
/** Addresses that an answer may hold. */
constexpr std::size_t most_addresses = 64;

std::string callers_address(const member_entry& member)
{
    return member.address + ":" + std::to_string(member.callers_port);
}

} // namespace

std::vector<std::string> directory_addresses(const std::vector<member_entry>& members,
                                             std::string_view failure_domain,
                                             const member_entry& self, random_engine& random)
{
    std::vector<std::string> all;
    std::vector<std::string> near;
    for (const auto& member : members) {
        if (member.state != member_state::ready) {
            continue;
        }
        all.push_back(callers_address(member));
        if (member.failure_domain == failure_domain) {
            near.push_back(callers_address(member));
        }
    }
    auto& answer = near.size() >= enough_near ? near : all;
    if (answer.empty()) {
        answer.push_back(callers_address(self));
    }
    std::vector<std::string> named;
    std::ranges::sample(answer, std::back_inserter(named),
                        static_cast<std::ptrdiff_t>(most_addresses), random);
    return named;
}

} // namespace sniperock

/** @file directory.cpp Selects the VMs whose addresses callers receive. */
#include "directory.hpp"

#include <algorithm>
#include <iterator>

namespace sniperock {
namespace {

/** With fewer ready VMs than this in its failure domain, a caller receives all ready VMs. */
constexpr std::size_t min_nearby = 2;
/** Maximum number of addresses in an answer. */
constexpr std::size_t max_addresses = 64;

std::string callers_address(const member_entry& member)
{
    return member.address + ":" + std::to_string(member.callers_port);
}

} // namespace

std::vector<std::string>
directory_addresses(const std::vector<member_entry>& members,
                    const std::function<bool(const member_entry&)>& is_isolated,
                    std::string_view failure_domain, const member_entry& self,
                    random_engine& random)
{
    std::vector<std::string> all;
    std::vector<std::string> nearby;
    std::vector<std::string> isolated;
    for (const auto& member : members) {
        if (member.state != member_state::ready) {
            continue;
        }
        if (is_isolated(member)) {
            isolated.push_back(callers_address(member));
            continue;
        }
        all.push_back(callers_address(member));
        if (member.failure_domain == failure_domain) {
            nearby.push_back(callers_address(member));
        }
    }
    auto& sound = nearby.size() >= min_nearby ? nearby : all;
    auto& answer = sound.empty() ? isolated : sound;
    if (answer.empty()) {
        answer.push_back(callers_address(self));
    }
    std::vector<std::string> sampled;
    std::ranges::sample(answer, std::back_inserter(sampled),
                        static_cast<std::ptrdiff_t>(max_addresses), random);
    return sampled;
}

} // namespace sniperock

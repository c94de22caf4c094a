/** @file ownership_rendezvous.cpp Rendezvous hashing in two steps: the service's vms, then the
 * server's. */
#include "ownership_rendezvous.hpp"
#include "hash_func.hpp"

#include <algorithm>
#include <iterator>

namespace sniperock {
namespace {

/** Candidates by falling rank for @p key. */
std::vector<std::string> rank(std::vector<std::string> vms, const std::string& key)
{
    const auto seed = stable_hash(key);
    std::ranges::sort(vms, [seed](const std::string& left, const std::string& right) {
        const auto left_rank = stable_hash(left, seed);
        const auto right_rank = stable_hash(right, seed);
        return left_rank != right_rank ? left_rank > right_rank : left < right;
    });
    return vms;
}

std::vector<std::string> names_in(const std::vector<owner_candidate>& candidates,
                                  const std::string& failure_domain)
{
    std::vector<std::string> names;
    for (const auto& candidate : candidates) {
        if (candidate.failure_domain == failure_domain) {
            names.push_back(candidate.vm);
        }
    }
    if (names.empty()) {
        std::ranges::transform(candidates, std::back_inserter(names), &owner_candidate::vm);
    }
    return names;
}

} // namespace

std::string choose_owner(const server_key& server, const std::string& failure_domain,
                         const std::vector<owner_candidate>& candidates,
                         std::size_t owners_per_domain)
{
    auto vms = rank(names_in(candidates, failure_domain), server.service);
    if (vms.empty()) {
        return {};
    }
    vms.resize(std::min(vms.size(), owners_per_domain));
    return rank(std::move(vms), server.service + "/" + server.server).front();
}

} // namespace sniperock

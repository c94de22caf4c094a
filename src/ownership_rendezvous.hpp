/** @file ownership_rendezvous.hpp Chooses each server's owner by rendezvous hashing. */
#pragma once

#include "config_type.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace sniperock {

/** An entry vm that may own servers. */
struct owner_candidate {
    std::string vm;
    std::string failure_domain;

    friend auto operator<=>(const owner_candidate&, const owner_candidate&) = default;
};

/**
 * Chooses the owner of a server. The candidates of the server's own failure domain come first, so
 * that a lost failure domain takes its owners along; if it has none, all candidates take part.
 * @param server the server.
 * @param failure_domain where the server stands.
 * @param candidates every vm of the epoch.
 * @param owners_per_domain how many vms share one service's servers in a failure domain; from 1.
 * @return the owner's vm name; empty if there is no candidate.
 */
std::string choose_owner(const server_key& server, const std::string& failure_domain,
                         const std::vector<owner_candidate>& candidates,
                         std::size_t owners_per_domain);

} // namespace sniperock

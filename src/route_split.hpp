/** @file route_split.hpp Shares a route's requests among its services by weight. */
#pragma once

#include "config_type.hpp"
#include "random_type.hpp"

#include <map>
#include <string>
#include <vector>

namespace sniperock {

/**
 * Picks the service of each request so that the shares match the weights after few requests.
 *
 * Smooth weighted round robin: each part collects its weight and the richest one pays for the
 * request. It starts at a random point, so that VMs that each see few requests do not all send
 * their first ones to the same part.
 */
class route_splitter {
public:
    explicit route_splitter(random_engine& random) : random_(random) {}

    /** The service that takes the next request of @p item. */
    const std::string& next_service(const route& item);
    /** Split routes that are remembered. */
    [[nodiscard]] std::size_t known_routes() const { return states_.size(); }

private:
    struct state {
        std::vector<weighted_service> weighted_services;
        std::vector<double> credit;
    };

    state& state_of(const route& item);

    random_engine& random_;
    std::map<std::string, state, std::less<>> states_;
};

} // namespace sniperock

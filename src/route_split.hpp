/** @file route_split.hpp Distributes a route's requests among its services by weight. */
#pragma once

#include "config_type.hpp"
#include "random_type.hpp"

#include <map>
#include <string>
#include <vector>

namespace sniperock {

/**
 * Selects the service of each request so that the shares match the weights after few requests.
 *
 * Smooth weighted round robin: for each request, every service gains its weight as credit, and the
 * service with the most credit is selected and loses the sum of all weights. The initial credits
 * are random, so that VMs with few requests each do not all send their first requests to the same
 * service.
 */
class route_splitter {
public:
    explicit route_splitter(random_engine& random) : random_(random) {}

    /** Selects the service for the next request of route @p item. */
    const std::string& next_service(const route& item);
    /** Number of split routes with state. */
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

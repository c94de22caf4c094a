/** @file choice_estimate.hpp Estimates a route's requests by a moving average over its answers. */
#pragma once

#include "choice_score.hpp"
#include "config_type.hpp"

#include <map>
#include <string>

namespace sniperock {

/** Moving averages of the work and the answer length of each route's requests. */
class choice_estimates {
public:
    /** The estimate for a request of route @p item. */
    request_estimate for_route(const route& item);
    /**
     * Adds an answer to the averages of route @p item.
     * @param latency_ms from sending the request to the end of the answer.
     * @param slowness of the upstream when it was chosen.
     */
    void update(const route& item, double latency_ms, double slowness, double answer_bytes);

private:
    struct average {
        double work_ms = 0;
        double answer_bytes = 0;
        bool known = false;
    };

    std::map<std::string, average, std::less<>> routes_;
};

} // namespace sniperock

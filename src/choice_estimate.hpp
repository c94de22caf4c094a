/** @file choice_estimate.hpp What a route's requests usually take, learned from their answers. */
#pragma once

#include "choice_score.hpp"
#include "config_type.hpp"

#include <map>
#include <string>

namespace sniperock {

/** Learns the work and the length of the answers of each route. */
class choice_estimates {
public:
    /** What a request of @p item will probably take. */
    request_estimate for_route(const route& item);
    /**
     * Learns from an answer.
     * @param took_ms from sending the request to the whole answer.
     * @param slowness of the upstream when it was chosen.
     */
    void update(const route& item, double took_ms, double slowness, double answer_bytes);

private:
    struct average {
        double work_ms = 0;
        double answer_bytes = 0;
        bool known = false;
    };

    std::map<std::string, average, std::less<>> routes_;
};

} // namespace sniperock

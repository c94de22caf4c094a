/** @file choice_yield.hpp Sheds less urgent requests while more urgent ones are refused. */
#pragma once

#include "choice_urgency.hpp"
#include "clock_type.hpp"
#include "random_type.hpp"

#include <cstddef>
#include <map>
#include <string>

namespace sniperock {

/**
 * Moving averages of the ratio of requests that found no free slot, per service and urgency. The
 * higher the ratio of more urgent requests, the likelier a less urgent request is shed, that is,
 * refused before it searches for a slot. Only requests of this VM are counted, since a burst
 * reaches all VMs.
 */
class load_shedder {
public:
    /** Refusal ratio, 0 to 1, of the urgency that is refused most among those above @p urgency. */
    [[nodiscard]] double urgent_refusal_ratio(const std::string& service, request_urgency urgency,
                                              local_time now) const;
    /** Records whether a request of @p urgency was refused because no slot was free. */
    void record(const std::string& service, request_urgency urgency, bool refused, local_time now);
    /** Number of averages held for a service. */
    [[nodiscard]] std::size_t averages(const std::string& service) const;

private:
    struct refusal_average {
        /** Ratio of recent requests that were refused; decays with time. */
        double ratio = 0;
        local_time updated_at;
    };

    static double decayed_ratio(const refusal_average& average, local_time now);

    std::map<std::string, std::map<request_urgency, refusal_average>, std::less<>> services_;
};

/** Decides at random whether a request is shed in favour of more urgent ones; the probability grows
 * with their refusal ratio. */
bool should_shed(double urgent_refusal_ratio, random_engine& random);

} // namespace sniperock

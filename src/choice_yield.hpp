/** @file choice_yield.hpp Sheds less urgent requests while more urgent ones are refused. */
#pragma once

#include "clock_type.hpp"
#include "random_type.hpp"

#include <map>
#include <string>

namespace sniperock {

/**
 * Moving averages of the ratio of requests that found no free slot, per service and priority. The
 * higher the ratio of more urgent requests, the likelier a less urgent request is shed, that is,
 * refused before it searches for a slot. Only requests of this VM are counted, since a burst
 * reaches all VMs.
 */
class load_shedder {
public:
    /** Refusal ratio, 0 to 1, of the priority that is refused most among those more urgent than
     * @p priority; priority 0 is the most urgent. */
    [[nodiscard]] double urgent_refusal_ratio(const std::string& service, int priority,
                                              local_time now) const;
    /** Records whether a request of @p priority was refused because no slot was free. */
    void record(const std::string& service, int priority, bool refused, local_time now);

private:
    struct refusal_average {
        /** Ratio of recent requests that were refused; decays with time. */
        double ratio = 0;
        local_time updated_at;
    };

    static double decayed_ratio(const refusal_average& average, local_time now);

    std::map<std::string, std::map<int, refusal_average>, std::less<>> services_;
};

/** Decides at random whether a request is shed in favour of more urgent ones; the probability grows
 * with their refusal ratio. */
bool should_shed(double urgent_refusal_ratio, random_engine& random);

} // namespace sniperock

/** @file choice_yield.hpp Less urgent requests yield while more urgent ones are refused. */
#pragma once

#include "clock_type.hpp"
#include "random_type.hpp"

#include <map>
#include <string>

namespace sniperock {

/**
 * Per service, how often requests of each priority have lately found no slot. The more often more
 * urgent ones did, the likelier a request yields its place: it is refused before it looks for one.
 * What this VM sees itself is enough, since a burst reaches all VMs.
 */
class load_shedder {
public:
    /** Share of the requests more urgent than @p priority that were refused; 0 is the first. */
    [[nodiscard]] double urgent_refusal_ratio(const std::string& service, int priority,
                                              local_time now) const;
    /** Notes whether a request of a priority was refused for want of a slot. */
    void record(const std::string& service, int priority, bool refused, local_time now);

private:
    struct refusals {
        /** Share of the last requests, fading with time. */
        double share = 0;
        local_time noted;
    };

    static double share_at(const refusals& item, local_time now);

    std::map<std::string, std::map<int, refusals>, std::less<>> services_;
};

/** True if a request leaves the slots to more urgent ones. */
bool should_shed(double urgent_refusal_ratio, random_engine& random);

} // namespace sniperock

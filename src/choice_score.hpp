/** @file choice_score.hpp Estimates how long a request would take at an upstream. */
#pragma once

#include "upstream_type.hpp"

namespace sniperock {

/** What is known of a request before it is sent. */
struct request_estimate {
    /** Work at an upstream that is not slowed, in ms. */
    double work_ms = 50;
    /** Length of the answer in bytes. */
    double answer_bytes = 0;
    /** It can be sent again if it fails. */
    bool repeatable = true;
};

/** What is known of an upstream when a choice is made. */
struct candidate {
    upstream* item = nullptr;
    /** In the failure domain of this VM. */
    bool near = true;
    /** Its report is fresh. */
    bool fresh = false;
};

/** Requests that run or wait at an upstream, those counted that were sent since its report. */
unsigned busy_slots(const upstream& item);

/** True if a request sent now would begin at once. */
bool has_free_slot(const upstream& item);

/** Expected time in ms until the answer. */
double expected_ms(const candidate& what, const request_estimate& request, local_time now);

/**
 * What candidates are ranked by, the lower the better: the expected time, and what failures and
 * bytes between failure domains cost, expressed in ms too.
 */
double rank_ms(const candidate& what, const request_estimate& request, local_time now);

/** True if no other upstream would be much better: the choice need not wait for more reports. */
bool is_ideal(const candidate& what, const request_estimate& request, local_time now);

} // namespace sniperock

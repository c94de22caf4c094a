/** @file choice_score.hpp Expected latency and rank of a request at an upstream. */
#pragma once

#include "upstream_type.hpp"

namespace sniperock {

/** Estimated properties of a request before it is sent. */
struct request_estimate {
    /** Processing time at an upstream of normal speed, in ms. */
    double work_ms = 50;
    /** Length of the answer in bytes. */
    double answer_bytes = 0;
    /** The request may be sent again if it fails. */
    bool retryable = true;
};

/** An upstream considered for a request. */
struct candidate {
    upstream* item = nullptr;
    /** The upstream is in the failure domain of this VM. */
    bool same_domain = true;
    /** The load report of the upstream is fresh. */
    bool fresh = false;
};

/** Estimated number of requests that run or wait at an upstream: those in its load report and those
 * that this VM has sent since, but at least the requests in flight from this VM. */
unsigned busy_slots(const upstream& item);

/** True if a request sent now would start without queueing. */
bool has_free_slot(const upstream& item);

/** Expected time until the answer, in ms. */
double expected_ms(const candidate& option, const request_estimate& request, local_time now);

/**
 * Rank of a candidate in ms; the lowest is the best. The sum of the expected time, the cost of
 * bytes between failure domains and the costs of bad health and of likely failures, all expressed
 * in ms.
 */
double rank_ms(const candidate& option, const request_estimate& request, local_time now);

/** True if no other upstream can be much better, so that the selection need not wait for more
 * reports. */
bool is_ideal(const candidate& option, const request_estimate& request, local_time now);

} // namespace sniperock

/** @file choice_score.hpp Expected latency and rank of a request at an upstream. */
#pragma once

#include "upstream_type.hpp"

namespace sniperock {

/** Extra round-trip time to another failure domain of a region, in ms, until it is measured. */
inline constexpr double usual_cross_domain_ms = 3;
/** Added latency accepted to keep 1,000 bytes within the failure domain, in ms, unless set. */
inline constexpr double usual_ms_per_1000_bytes = 2;
/** Least work that other times are expressed in units of, in ms. */
inline constexpr double min_work_ms = 1;

/** Estimated properties of a request before it is sent. */
struct request_estimate {
    /** Processing time at an upstream of normal speed, in ms. */
    double work_ms = 50;
    /** Length of the answer in bytes. */
    double answer_bytes = 0;
    /** The request may be sent again if it fails. */
    bool retryable = true;
    /** Length of the request body in bytes. */
    double request_bytes = 0;
    /** Added latency accepted to keep 1,000 bytes within the failure domain, in ms. */
    double ms_per_1000_bytes = usual_ms_per_1000_bytes;
};

/** An upstream considered for a request. */
struct candidate {
    upstream* item = nullptr;
    /** The upstream is in the failure domain of this VM. */
    bool same_domain = true;
    /** The load report of the upstream is fresh. */
    bool fresh = false;
    /** Extra round-trip time if it is not in the failure domain of this VM, in ms. */
    double distance_ms = usual_cross_domain_ms;
};

/** True if it is known that requests would fail at an upstream: it is unhealthy or in backoff. */
bool is_suspect(const upstream& item, local_time now);

/** Estimated number of requests that run or wait at an upstream: those in its load report and those
 * that this VM has sent since, but at least the requests in flight from this VM. */
unsigned busy_slots(const upstream& item);

/** True if a request sent now would start without queueing. */
bool has_free_slot(const upstream& item);

/** Cost of a request that fails at its upstream, in units of its work. */
double failure_cost(const request_estimate& request);

/** Cost of the bytes of a request that leaves the failure domain, in ms. */
double byte_cost_ms(const request_estimate& request);

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

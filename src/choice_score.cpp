/** @file choice_score.cpp Expected latency and rank of a request at an upstream. */
#include "choice_score.hpp"

#include "cold_limit.hpp"

#include <algorithm>

namespace sniperock {
namespace {

/** Slowdown of work on the last slot of an upstream: its requests share one machine. */
constexpr double last_slot_factor = 1.6;
/** Slowness assumed without a fresh report: between normal and slowed. */
constexpr double unknown_slowness = 2;
/** Slowdown of a cold upstream, which works at half speed. */
constexpr double cold_factor = 2;
/** Cost of a failed retryable request, in units of its work: the work is done again after a second
 * selection. */
constexpr double retry_cost = 3;
/** Cost of a failed request that cannot be retried, in units of its work: the request is lost. */
constexpr double loss_cost = 12;
/** Cost of an upstream that reports itself unhealthy, in units of the work of the request: it is
 * chosen only if all others are much worse. */
constexpr double unhealthy_cost = 10;
/** Rank up to which a candidate is ideal, in units of the work of the request: waiting for the
 * reports of others is then not worthwhile. */
constexpr double max_ideal_factor = 1.15;

double slowness_of(const candidate& option)
{
    const auto& report = option.item->report;
    return report && option.fresh ? std::max(report->slowness, 1.0) : unknown_slowness;
}

} // namespace

bool is_suspect(const upstream& item, local_time now)
{
    return item.unhealthy || item.failures.in_backoff(now);
}

double failure_cost(const request_estimate& request)
{
    return request.retryable ? retry_cost : loss_cost;
}

double byte_cost_ms(const request_estimate& request)
{
    constexpr double unit = 1000;
    return request.ms_per_1000_bytes * (request.request_bytes + request.answer_bytes) / unit;
}

unsigned busy_slots(const upstream& item)
{
    if (!item.report) {
        return item.in_flight;
    }
    const auto estimated = item.report->running + item.report->waiting + item.sent_since_report;
    return std::max(estimated, item.in_flight);
}

bool has_free_slot(const upstream& item)
{
    return busy_slots(item) < std::max(item.entry.slots, 1U);
}

double expected_ms(const candidate& option, const request_estimate& request, local_time now)
{
    const auto& item = *option.item;
    const auto slots = std::max(item.entry.slots, 1U);
    const auto busy = busy_slots(item);
    double work = request.work_ms * slowness_of(option);
    if (busy + 1 >= slots && slots > 1) {
        work *= last_slot_factor;
    }
    if (is_cold(item, now)) {
        work *= cold_factor;
    }
    double total = work;
    if (busy >= slots) {
        total += work * (busy - slots + 1) / slots;
    }
    return option.same_domain ? total : total + option.distance_ms;
}

double rank_ms(const candidate& option, const request_estimate& request, local_time now)
{
    const auto& item = *option.item;
    double total = expected_ms(option, request, now);
    if (!option.same_domain) {
        total += byte_cost_ms(request);
    }
    if (item.unhealthy) {
        total += request.work_ms * unhealthy_cost;
    }
    return total + item.failures.ratio(now) * failure_cost(request) * request.work_ms;
}

bool is_ideal(const candidate& option, const request_estimate& request, local_time now)
{
    return option.fresh && !is_cold(*option.item, now) &&
           rank_ms(option, request, now) <= request.work_ms * max_ideal_factor;
}

} // namespace sniperock

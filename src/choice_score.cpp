/** @file choice_score.cpp Estimates how long a request would take at an upstream. */
#include "choice_score.hpp"

#include "cold_limit.hpp"

#include <algorithm>

namespace sniperock {
namespace {

/** Work on the last slot of an upstream takes longer: its requests share a machine. */
constexpr double last_slot_factor = 1.6;
/** Slowness that is assumed of an upstream that did not tell: between usual and slowed. */
constexpr double unknown_slowness = 2;
/** A cold upstream works at half speed. */
constexpr double cold_factor = 2;
/** A round trip to another failure domain, in ms. */
constexpr double far_ms = 3;
/** Delay that is accepted to keep 1,000 bytes in the failure domain, in ms. */
constexpr double far_ms_per_1000_bytes = 2;
/** A failed repeatable request is done again: its work and a second choice. */
constexpr double repeat_cost = 3;
/** A failed request that cannot be repeated is lost. */
constexpr double loss_cost = 12;
/** An upstream that calls itself unhealthy is chosen only if the others are much worse. */
constexpr double unwell_cost = 10;
/** Where there is one better than this, waiting for other reports is not worth it. */
constexpr double ideal_factor = 1.15;

double slowness_of(const candidate& what)
{
    const auto& report = what.item->report;
    return report && what.fresh ? std::max(report->slowness, 1.0) : unknown_slowness;
}

} // namespace

unsigned busy_slots(const upstream& item)
{
    if (!item.report) {
        return item.in_flight;
    }
    const auto told = item.report->running + item.report->waiting + item.sent_since_report;
    return std::max(told, item.in_flight);
}

bool has_free_slot(const upstream& item)
{
    return busy_slots(item) < std::max(item.entry.slots, 1U);
}

double expected_ms(const candidate& what, const request_estimate& request, local_time now)
{
    const auto& item = *what.item;
    const auto slots = std::max(item.entry.slots, 1U);
    const auto busy = busy_slots(item);
    double work = request.work_ms * slowness_of(what);
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
    return what.near ? total : total + far_ms;
}

double rank_ms(const candidate& what, const request_estimate& request, local_time now)
{
    const auto& item = *what.item;
    double total = expected_ms(what, request, now);
    if (!what.near) {
        total += far_ms_per_1000_bytes * request.answer_bytes / 1000;
    }
    if (item.unhealthy) {
        total += request.work_ms * unwell_cost;
    }
    const double loss = request.repeatable ? repeat_cost : loss_cost;
    return total + item.failures.ratio(now) * loss * request.work_ms;
}

bool is_ideal(const candidate& what, const request_estimate& request, local_time now)
{
    return what.fresh && !is_cold(*what.item, now) &&
           rank_ms(what, request, now) <= request.work_ms * ideal_factor;
}

} // namespace sniperock

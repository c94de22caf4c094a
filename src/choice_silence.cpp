/** @file choice_silence.cpp Recognises a request that its upstream will never answer. */
#include "choice_silence.hpp"

namespace sniperock {
namespace {

/** Age that a load report may have when it is received, which is the time limit of a probe. */
constexpr milliseconds max_report_delay{250};
/** Time for a request or an answer on its way; a lost segment is sent again after 200 ms. */
constexpr milliseconds max_transit{300};
/** A report received this long after the request was sent counts it if the upstream has it. */
constexpr milliseconds min_report_distance = max_report_delay + max_transit;
/** The answer is overdue after this multiple of the expected time. */
constexpr double overdue_factor = 1.5;
/** Time between two probes for one request: an upstream that answers late is probed twice a second
 * at most. */
constexpr milliseconds look_interval{500};

} // namespace

silence_verdict silence_watch::judge(const upstream& item, local_time now)
{
    if (!item.report || now < first_check()) {
        return silence_verdict::waiting;
    }
    if (shows_absence(item, now)) {
        if (!missing_since_) {
            missing_since_ = item.reported_at;
        }
        // A single report may be a late copy of an earlier one.
        if (item.reported_at - *missing_since_ >= silence_check_interval) {
            return silence_verdict::silent;
        }
    }
    else if (item.report->running + item.report->waiting > 0) {
        missing_since_.reset();
    }
    const bool overdue = now - sent_at_ >= expected_ * overdue_factor;
    if (overdue && now - looked_at_ >= look_interval && now - item.reported_at >= look_interval) {
        looked_at_ = now;
        return silence_verdict::look;
    }
    return silence_verdict::waiting;
}

local_time silence_watch::first_check() const
{
    return sent_at_ + min_report_distance;
}

/** Whether the last report would count the request, and counts none. */
bool silence_watch::shows_absence(const upstream& item, local_time now) const
{
    return item.reported_at - sent_at_ >= min_report_distance &&
           now - item.reported_at >= max_transit && item.report->running == 0 &&
           item.report->waiting == 0;
}

} // namespace sniperock

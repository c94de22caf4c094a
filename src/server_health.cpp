/** @file server_health.cpp Judges a server by how its calls ended. */
#include "server_health.hpp"

#include <algorithm>

namespace sniperock {
namespace {

constexpr double latency_weight = 1.0 / 8;
constexpr double error_weight = 1.0 / 16;
/** Failures or errors in a row that suspend a server. */
constexpr std::uint32_t failures_to_suspend = 5;
constexpr milliseconds first_backoff{100};
constexpr milliseconds longest_backoff{5'000};
/** What a failed call counts as in the cost. */
constexpr milliseconds error_cost{1'000};
/** Stands for an unknown latency, so that new servers get work. */
constexpr milliseconds unknown_latency{1};

} // namespace

void server_health::suspend(local_time now)
{
    standing_ = server_standing::suspended;
    backoff_ = std::clamp(backoff_ * 2, first_backoff, longest_backoff);
    retry_at_ = now + backoff_;
}

void server_health::note_error(double value)
{
    error_rate_ += (value - error_rate_) * error_weight;
}

bool server_health::on_call(const call_report& report, local_time now)
{
    if (report.load) {
        report_ = report.load;
    }
    if (report.load && report.load->phase == server_phase::draining) {
        standing_ = server_standing::draining;
    }
    const bool was_usable = standing_ == server_standing::usable;
    switch (report.result) {
    case call_result::cancelled:
        return false;
    case call_result::answered:
        last_answer_ = now;
        if (!report.server_error) {
            const auto value = static_cast<double>(report.latency.count());
            latency_ns_ =
                latency_ns_ <= 0 ? value : latency_ns_ + (value - latency_ns_) * latency_weight;
            note_error(0);
            failures_ = 0;
            backoff_ = milliseconds{0};
            if (standing_ == server_standing::suspended) {
                standing_ = server_standing::usable;
            }
            return false;
        }
        break;
    default:
        break;
    }
    note_error(1);
    ++failures_;
    const bool unreachable = report.result == call_result::not_sent;
    if (standing_ != server_standing::draining &&
        (unreachable || failures_ >= failures_to_suspend)) {
        suspend(now);
        return was_usable;
    }
    return false;
}

bool server_health::on_probe(const load_report& report, local_time now)
{
    report_ = report;
    last_answer_ = now;
    const auto before = standing_;
    standing_ = report.phase == server_phase::draining ? server_standing::draining
                                                       : server_standing::usable;
    failures_ = 0;
    return before != server_standing::usable && standing_ == server_standing::usable;
}

void server_health::on_probe_failure(local_time now)
{
    if (standing_ != server_standing::draining) {
        suspend(now);
    }
}

bool server_health::trial_due(local_time now) const
{
    return standing_ == server_standing::suspended && now >= retry_at_;
}

nanoseconds server_health::cost() const
{
    const double usual = latency_ns_ > 0 ? latency_ns_ : nanoseconds{unknown_latency}.count();
    const double errors = error_rate_ * static_cast<double>(nanoseconds{error_cost}.count());
    return nanoseconds{static_cast<std::int64_t>(usual + errors)};
}

} // namespace sniperock

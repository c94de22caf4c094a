/** @file quarantine.cpp Requests that end the upstreams that run them, and are not sent for a time.
 */
#include "quarantine.hpp"

#include "event_type.hpp"
#include "hash_func.hpp"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <string>

namespace sniperock {
namespace {

/** Ends of upstreams within this time after an answer to a request are not attributed to it. */
constexpr seconds answer_alibi{5};
/** A suspected request under which no further upstream ends for this time is forgotten. */
constexpr seconds suspicion_time{60};
/** Longest quarantine. */
constexpr seconds max_time{600};
/** Time for which a trial may run without a result; longer than most requests take. */
constexpr seconds trial_time{5};
/** Time for which what became known about a request is sent to others unasked. */
constexpr seconds report_time{10};
/** A time in a report is newer only by more than this: its age lacks the time that the report was
 * on its way. */
constexpr milliseconds report_delay{250};
/** Ends of processes that are remembered for one request. */
constexpr std::size_t max_ended = 16;
/** The quarantine is doubled at most this often. */
constexpr unsigned max_failed_trials = 16;

milliseconds age(local_time time, local_time now)
{
    return std::max(std::chrono::duration_cast<milliseconds>(now - time), milliseconds{0});
}

std::optional<milliseconds> age(const std::optional<local_time>& time, local_time now)
{
    return time ? std::optional{age(*time, now)} : std::nullopt;
}

/** The later of a known time and that of a report, which may be the same one. */
bool is_later(std::optional<local_time> reported, std::optional<local_time> known)
{
    return reported && (!known || *reported > *known + report_delay);
}

/** False for a report that no VM sends; it would otherwise refuse requests for ever. */
bool is_plausible(const quarantine_report& report)
{
    return report.ended.size() <= max_ended && report.failed_trials <= max_failed_trials &&
           report.ended_ago >= milliseconds{0} && report.ended_ago <= 2 * max_time &&
           report.trial_ago.value_or(milliseconds{0}) >= milliseconds{0} &&
           report.answered_ago.value_or(milliseconds{0}) >= milliseconds{0};
}

} // namespace

request_quarantine::request_quarantine(quarantine_settings settings,
                                       std::function<void(request_fingerprint)> on_news)
    : settings_(settings), on_news_(std::move(on_news))
{
}

local_time request_quarantine::quarantined_until(const entry& item) const
{
    const auto doubled =
        settings_.first_time * (1U << std::min(item.failed_trials, max_failed_trials));
    return item.ended_at + std::min<milliseconds>(doubled, max_time);
}

quarantine_verdict request_quarantine::verdict_of(const entry& item, local_time now) const
{
    if (!convicted(item)) {
        return quarantine_verdict::allowed;
    }
    const bool awaits_trial = item.trial_at && now < *item.trial_at + trial_time;
    return now < quarantined_until(item) || awaits_trial ? quarantine_verdict::refused
                                                         : quarantine_verdict::trial;
}

quarantine_verdict request_quarantine::verdict(request_fingerprint request, local_time now) const
{
    const auto found = entries_.find(request);
    return found == entries_.end() ? quarantine_verdict::allowed : verdict_of(found->second, now);
}

milliseconds request_quarantine::remaining(request_fingerprint request, local_time now) const
{
    const auto found = entries_.find(request);
    if (found == entries_.end() || verdict_of(found->second, now) != quarantine_verdict::refused) {
        return milliseconds{0};
    }
    const auto& item = found->second;
    const auto trial_end = item.trial_at ? *item.trial_at + trial_time : now;
    return std::chrono::ceil<milliseconds>(std::max(quarantined_until(item), trial_end) - now);
}

bool request_quarantine::suspected(request_fingerprint request) const
{
    const auto found = entries_.find(request);
    return found != entries_.end() && !found->second.ended.empty();
}

/** When the request was last answered, as far as this VM knows. */
std::optional<local_time> request_quarantine::last_answer(request_fingerprint request) const
{
    std::optional<local_time> latest;
    const auto found = entries_.find(request);
    if (found != entries_.end()) {
        latest = found->second.answered_at;
    }
    const auto& recent = answers_.at(request.value % answer_slots);
    const bool same = recent.request == request && recent.answered_at != local_time{};
    return same && (!latest || recent.answered_at > *latest) ? recent.answered_at : latest;
}

local_time request_quarantine::forget_at(const entry& item) const
{
    if (item.ended.empty()) {
        // An answer outlives the suspicions that it refutes.
        return item.updated_at + suspicion_time;
    }
    if (!convicted(item)) {
        return item.ended_at + suspicion_time;
    }
    // After the quarantine the failed trials still count, so that the next one is longer.
    const auto until = std::max(quarantined_until(item), item.trial_at.value_or(local_time{}));
    return until + std::max<nanoseconds>(until - item.ended_at, suspicion_time);
}

void request_quarantine::forget_expired(local_time now)
{
    std::erase_if(entries_, [&](const auto& item) { return forget_at(item.second) <= now; });
}

request_quarantine::entry& request_quarantine::find_or_add(request_fingerprint request,
                                                           local_time now)
{
    const auto found = entries_.find(request);
    if (found != entries_.end()) {
        return found->second;
    }
    forget_expired(now);
    if (entries_.size() >= max_entries) {
        // One suspicion more does not displace what is known for certain.
        entries_.erase(std::ranges::min_element(entries_, {}, [this](const auto& item) {
            return std::pair{convicted(item.second), item.second.updated_at};
        }));
    }
    return entries_.emplace(request, entry{}).first->second;
}

/** The request does not end upstreams: what was held against it is dropped. */
void request_quarantine::clear(request_fingerprint request, entry& item, local_time answered_at)
{
    if (convicted(item)) {
        log_event(event::request_cleared, {{"request", hex_text(request.value)}});
    }
    item.ended.clear();
    item.failed_trials = 0;
    item.trial_at.reset();
    item.answered_at = answered_at;
}

void request_quarantine::log_if_quarantined(request_fingerprint request, const entry& item,
                                            bool was_convicted, unsigned old_failed_trials,
                                            local_time now) const
{
    if (convicted(item) && (!was_convicted || item.failed_trials > old_failed_trials)) {
        log_event(event::request_quarantined,
                  {{"request", hex_text(request.value)},
                   {"ended", std::to_string(item.ended.size())},
                   {"failed_trials", std::to_string(item.failed_trials)},
                   {"ms", std::to_string(age(now, quarantined_until(item)).count())}});
    }
}

void request_quarantine::begin_trial(request_fingerprint request, local_time now)
{
    auto& item = find_or_add(request, now);
    item.trial_at = now;
    item.updated_at = now;
    log_event(event::request_tried, {{"request", hex_text(request.value)},
                                     {"failed_trials", std::to_string(item.failed_trials)}});
    on_news_(request);
}

void request_quarantine::record_end(request_fingerprint request, upstream_process process,
                                    local_time now)
{
    const auto answer = last_answer(request);
    if (settings_.crashes == 0 || (answer && now <= *answer + answer_alibi)) {
        return;
    }
    auto& item = find_or_add(request, now);
    if (std::ranges::find(item.ended, process) != item.ended.end()) {
        return;
    }
    const bool was_convicted = convicted(item);
    const auto old_failed_trials = item.failed_trials;
    const bool in_trial = was_convicted && item.trial_at && *item.trial_at > item.ended_at;
    if (item.ended.size() < max_ended) {
        item.ended.push_back(process);
    }
    item.failed_trials = std::min(item.failed_trials + (in_trial ? 1 : 0), max_failed_trials);
    item.ended_at = now;
    item.updated_at = now;
    log_if_quarantined(request, item, was_convicted, old_failed_trials, now);
    on_news_(request);
}

void request_quarantine::record_answer(request_fingerprint request, local_time now)
{
    answers_.at(request.value % answer_slots) = {request, now};
    const auto found = entries_.find(request);
    if (found == entries_.end() || found->second.ended.empty()) {
        return;
    }
    clear(request, found->second, now);
    found->second.updated_at = now;
    on_news_(request);
}

quarantine_reaction request_quarantine::apply(const quarantine_report& report, local_time now)
{
    if (settings_.crashes == 0 || !is_plausible(report)) {
        return quarantine_reaction::none;
    }
    const auto ended_at = now - report.ended_ago;
    const auto known_answer = last_answer(report.fingerprint);
    if (!report.ended.empty() && known_answer && ended_at <= *known_answer + answer_alibi) {
        auto& item = find_or_add(report.fingerprint, now);
        item.answered_at = *known_answer;
        item.updated_at = now;
        return quarantine_reaction::answer_known;
    }
    auto& item = find_or_add(report.fingerprint, now);
    const auto old_verdict = verdict_of(item, now);
    const bool was_convicted = convicted(item);
    const auto old_failed_trials = item.failed_trials;
    const auto answered_at = report.answered_ago ? std::optional{now - *report.answered_ago}
                                                 : std::optional<local_time>{};
    bool changed = false;
    if (is_later(answered_at, item.answered_at)) {
        item.answered_at = answered_at;
        if (!item.ended.empty() && item.ended_at <= *answered_at + answer_alibi) {
            clear(report.fingerprint, item, *answered_at);
        }
        changed = was_convicted != convicted(item);
        item.updated_at = now;
    }
    for (const auto process : report.ended) {
        if (item.ended.size() < max_ended &&
            std::ranges::find(item.ended, process) == item.ended.end()) {
            item.ended.push_back(process);
            item.updated_at = now;
        }
    }
    if (!report.ended.empty() && is_later(ended_at, item.ended_at)) {
        item.ended_at = ended_at;
    }
    item.failed_trials = std::max(item.failed_trials, report.failed_trials);
    const auto trial_at =
        report.trial_ago ? std::optional{now - *report.trial_ago} : std::optional<local_time>{};
    if (convicted(item) && is_later(trial_at, item.trial_at)) {
        item.trial_at = trial_at;
        item.updated_at = now;
        changed = true;
    }
    log_if_quarantined(report.fingerprint, item, was_convicted, old_failed_trials, now);
    changed = changed || old_verdict != verdict_of(item, now) || was_convicted != convicted(item) ||
              item.failed_trials > old_failed_trials;
    return changed ? quarantine_reaction::changed : quarantine_reaction::none;
}

std::optional<quarantine_report> request_quarantine::report_of(request_fingerprint request,
                                                               local_time now) const
{
    const auto found = entries_.find(request);
    if (found == entries_.end()) {
        return std::nullopt;
    }
    const auto& item = found->second;
    return quarantine_report{request,
                             item.ended,
                             item.ended.empty() ? milliseconds{0} : age(item.ended_at, now),
                             item.failed_trials,
                             age(item.trial_at, now),
                             age(item.answered_at, now)};
}

std::vector<quarantine_report> request_quarantine::reports(std::size_t max_reports,
                                                           random_engine& random, local_time now)
{
    forget_expired(now);
    std::vector<request_fingerprint> relevant;
    for (const auto& [request, item] : entries_) {
        if (convicted(item) || now - item.updated_at < report_time) {
            relevant.push_back(request);
        }
    }
    std::vector<request_fingerprint> picked;
    std::ranges::sample(relevant, std::back_inserter(picked),
                        static_cast<std::ptrdiff_t>(max_reports), random);
    std::vector<quarantine_report> result;
    std::ranges::transform(picked, std::back_inserter(result),
                           [&](request_fingerprint request) { return *report_of(request, now); });
    return result;
}

std::size_t request_quarantine::refused_count(local_time now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(entries_, [&](const auto& item) {
        return verdict_of(item.second, now) == quarantine_verdict::refused;
    }));
}

} // namespace sniperock

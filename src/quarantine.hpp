/** @file quarantine.hpp Requests that end the upstreams that run them, and are not sent for a time.
 */
#pragma once

#include "clock_type.hpp"
#include "random_type.hpp"
#include "strong_id.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace sniperock {

/** One run of an upstream's process, as a hash of its id and start time. */
using upstream_process = strong_id<struct upstream_process_tag>;

/** When a request is quarantined, and for how long. */
struct quarantine_settings {
    /** Upstreams that end while they run a request before it is quarantined; 0 disables it. */
    std::size_t crashes = 3;
    /** Time after the last end; doubled after each trial that ends another upstream. */
    milliseconds first_time{30'000};
};

/** What a VM knows of a request under which upstreams ended; sent to other VMs. Times are given as
 * ages, as the clocks of VMs differ. */
struct quarantine_report {
    request_fingerprint fingerprint;
    /** Processes that ended while they ran it, since it was last answered. */
    std::vector<upstream_process> ended{};
    /** Age of the last of these ends. */
    milliseconds ended_ago{0};
    /** Trials that ended another upstream. */
    unsigned failed_trials = 0;
    /** Age of the last trial. */
    std::optional<milliseconds> trial_ago{};
    /** Age of the last answer to it. */
    std::optional<milliseconds> answered_ago{};
};

/** Whether a request may be sent. */
enum class quarantine_verdict {
    allowed,
    /** It is quarantined, or the result of a trial is awaited. */
    refused,
    /** The quarantine is over; one VM may send it once to see whether it still ends upstreams. */
    trial,
};

/** What a report from another VM has changed here. */
enum class quarantine_reaction {
    none,
    /** The verdict on the request, or the end of its quarantine, has changed. */
    changed,
    /** This VM knows of an answer that the sender does not know of. */
    answer_known,
};

/**
 * The fleet's memory of requests that end upstreams, as far as this VM knows it.
 *
 * A request is suspected when the process of an upstream ends while it runs there. Requests that
 * only ran beside the cause are suspected as well, and an upstream may end without any cause among
 * its requests. They are told apart by their answers: a request that was answered shortly before an
 * end, or at any time after it, is not its cause. One that was never answered and under which
 * several processes ended is quarantined, and tried again by a single VM when that time is over.
 *
 * Each VM adds what it has seen; reports of others are merged, in any order and any number of
 * times. Bounded in entries and in time.
 */
class request_quarantine {
public:
    /** @param on_news called with a request about which this VM has learned something by itself
     * that the others should know. */
    request_quarantine(quarantine_settings settings,
                       std::function<void(request_fingerprint)> on_news);

    /** Applies changed settings. */
    void set_settings(const quarantine_settings& settings) { settings_ = settings; }
    [[nodiscard]] quarantine_verdict verdict(request_fingerprint request, local_time now) const;
    /** Time until the verdict on a refused request may change; 0 for others. */
    [[nodiscard]] milliseconds remaining(request_fingerprint request, local_time now) const;
    /** True if an upstream ended lately while it ran the request. */
    [[nodiscard]] bool suspected(request_fingerprint request) const;
    /** The request is sent as a trial; all other VMs refuse it until its result is known. */
    void begin_trial(request_fingerprint request, local_time now);
    /** The process of an upstream ended while it ran the request. */
    void record_end(request_fingerprint request, upstream_process process, local_time now);
    /** An upstream answered the request. */
    void record_answer(request_fingerprint request, local_time now);
    /** Merges what another VM reports. */
    quarantine_reaction apply(const quarantine_report& report, local_time now);
    /** What this VM knows of a request; empty if nothing. */
    [[nodiscard]] std::optional<quarantine_report> report_of(request_fingerprint request,
                                                             local_time now) const;
    /** Up to @p max_reports random reports of requests that are quarantined, or about which
     * something became known lately. */
    [[nodiscard]] std::vector<quarantine_report> reports(std::size_t max_reports,
                                                         random_engine& random, local_time now);
    /** Number of requests that are refused now. */
    [[nodiscard]] std::size_t refused_count(local_time now) const;
    /** Number of requests that are remembered. */
    [[nodiscard]] std::size_t size() const { return entries_.size(); }

    /** Maximum number of requests that are remembered. */
    static constexpr std::size_t max_entries = 512;

private:
    struct entry {
        std::vector<upstream_process> ended;
        local_time ended_at;
        unsigned failed_trials = 0;
        std::optional<local_time> trial_at;
        std::optional<local_time> answered_at;
        /** When something about it last became known. */
        local_time updated_at;
    };
    /** The request that was answered last of those that share a slot, and when. */
    struct recent_answer {
        request_fingerprint request;
        local_time answered_at;
    };
    static constexpr std::size_t answer_slots = 1024;

    [[nodiscard]] bool convicted(const entry& item) const
    {
        return settings_.crashes > 0 && item.ended.size() >= settings_.crashes;
    }
    [[nodiscard]] local_time quarantined_until(const entry& item) const;
    [[nodiscard]] quarantine_verdict verdict_of(const entry& item, local_time now) const;
    [[nodiscard]] std::optional<local_time> last_answer(request_fingerprint request) const;
    [[nodiscard]] local_time forget_at(const entry& item) const;
    entry& find_or_add(request_fingerprint request, local_time now);
    void forget_expired(local_time now);
    void clear(request_fingerprint request, entry& item, local_time answered_at);
    void log_if_quarantined(request_fingerprint request, const entry& item, bool was_convicted,
                            unsigned old_failed_trials, local_time now) const;

    quarantine_settings settings_;
    std::function<void(request_fingerprint)> on_news_;
    std::map<request_fingerprint, entry> entries_;
    /** Requests answered lately, each in the slot that its fingerprint selects. */
    std::array<recent_answer, answer_slots> answers_{};
};

} // namespace sniperock

/** @file store_watcher.hpp List-and-watch loop for one kind of object in the store. */
#pragma once

#include "event_type.hpp"
#include "random_type.hpp"
#include "store_health.hpp"
#include "store_news.hpp"
#include "store_type.hpp"

#include <algorithm>
#include <functional>
#include <string>

namespace sniperock {

/** Callbacks through which a watcher reports on the objects of its kind. */
struct watch_callbacks {
    /** The store answered again after an outage. */
    std::function<void()> on_recovered;
    /** Every current object of the kind. */
    std::function<void(const store_listing&)> on_listing;
    /** Changes, in order. */
    std::function<void(const store_changes&)> on_changes;
};

/** Timeouts and intervals of a watcher. */
struct watch_timing {
    /** How long one watch call waits for a change. */
    milliseconds watch_timeout{25'000};
    /** Minimum time between the starts of two watch calls; changes in between are batched. */
    milliseconds min_watch_interval{0};
    /** Listings may be stale, as the watch that follows delivers the changes they lack. The first
     * listing after an outage is always fresh. */
    read_mode listing_mode = read_mode::fresh;
    /** Failures that last this long count as an outage of the store. */
    milliseconds outage_threshold{1000};
    /** Maximum wait for the liveness probe to succeed before a retry. The probe reads another kind,
     * and the store may answer for some kinds only. */
    milliseconds max_health_wait{15'000};
};

/**
 * Lists a kind and then watches it; lists again when the store no longer has the history since the
 * last known revision. Retries with exponential backoff and jitter, so that the VMs of a fleet do
 * not call all at once when the store recovers. A watch uses the full timeout only if the previous
 * call was answered: the store never answers a watch that was started during its outage.
 */
template <object_store Store>
class store_watcher {
public:
    /** @param kind_id the kind's index in @p revisions; @p kind is its name in the store. */
    store_watcher(Store& store, watched_kind kind_id, std::string kind, watch_timing timing,
                  watch_callbacks callbacks, store_health& health,
                  store_revision_tracker& revisions, random_engine& random)
        : store_(store), kind_id_(kind_id), kind_(std::move(kind)), timing_(timing),
          callbacks_(std::move(callbacks)), health_(health), revisions_(revisions), random_(random)
    {
    }

    /** Runs until the io context stops. */
    task<> run()
    {
        for (;;) {
            auto failure = store_failure::unavailable;
            try {
                co_await list_and_watch();
            }
            catch (const store_error& error) {
                failure = error.failure();
                long_watch_pending_ = false;
                handle_failure(error);
            }
            if (failure != store_failure::history_gone) {
                co_await sleep_for(next_retry_delay());
                co_await wait_until_store_answers();
                detect_outage();
            }
        }
    }

    /** At least one listing was applied. */
    [[nodiscard]] bool synced() const { return synced_; }
    /** The kind's name in the store. */
    [[nodiscard]] const std::string& kind() const { return kind_; }
    /** When the store last answered a call of this watcher. */
    [[nodiscard]] local_time last_answer() const { return last_answer_; }
    /** True if the pending watch has not delivered a change that another VM has already received;
     * the store will not answer such a watch. */
    [[nodiscard]] bool missed_change(local_time now) const
    {
        // The store notifies the VMs of a change one after another, and some links are slow.
        constexpr milliseconds delivery_grace{500};
        const auto since = std::max(call_began_, revisions_.remote_updated_at(kind_id_));
        return long_watch_pending_ && revisions_.remote_revision(kind_id_) > last_revision_ &&
               now - since >= delivery_grace;
    }

    void log_missed_change() const
    {
        log_event(event::store_change_missed,
                  {{"kind", kind_},
                   {"after", std::to_string(last_revision_.value)},
                   {"heard", std::to_string(revisions_.remote_revision(kind_id_).value)}});
    }

private:
    /** Timeout of a watch after a failure; its answer shows that the store answers again. */
    static constexpr milliseconds min_watch_timeout{1};

    /** Lists the kind if needed, then watches from the last known revision. Ends only by throwing
     * store_error. */
    task<> list_and_watch()
    {
        if (!has_listing_) {
            co_await list();
        }
        for (;;) {
            call_began_ = boot_clock::now();
            long_watch_pending_ = failures_ == 0;
            const auto wait = long_watch_pending_ ? timing_.watch_timeout : min_watch_timeout;
            const auto changes = co_await store_.watch(kind_, last_revision_, wait);
            long_watch_pending_ = false;
            handle_answer();
            log_changes(changes);
            next_listing_mode_ = timing_.listing_mode;
            last_revision_ = changes.at_revision;
            for (const auto& change : changes.events) {
                revisions_.record_local(kind_id_, change.object.revision);
            }
            callbacks_.on_changes(changes);
            co_await sleep_until(call_began_ + timing_.min_watch_interval);
        }
    }

    /** Waits until the liveness probe succeeds, at most for max_health_wait. */
    task<> wait_until_store_answers()
    {
        constexpr milliseconds poll_interval{100};
        const auto deadline = boot_clock::now() + timing_.max_health_wait;
        while (!health_.is_answering() && boot_clock::now() < deadline) {
            co_await sleep_for(poll_interval);
        }
    }

    /** Lists the kind and reports the result. A stale listing that is no newer than the known
     * revision is replaced by a fresh one, so that the known state never goes back. */
    task<> list()
    {
        // The next listing is fresh, unless the watch that follows this one finds its history.
        const auto mode = std::exchange(next_listing_mode_, read_mode::fresh);
        call_began_ = boot_clock::now();
        auto listing = co_await store_.list(kind_, mode);
        if (mode == read_mode::stale && synced_ && listing.at_revision <= last_revision_) {
            listing = co_await store_.list(kind_, read_mode::fresh);
        }
        handle_answer();
        last_revision_ = listing.at_revision;
        has_listing_ = true;
        synced_ = true;
        for (const auto& object : listing.objects) {
            revisions_.record_local(kind_id_, object.revision);
        }
        callbacks_.on_listing(listing);
    }

    /** Time since the start of the current call. */
    [[nodiscard]] milliseconds call_age() const
    {
        return std::chrono::duration_cast<milliseconds>(boot_clock::now() - call_began_);
    }

    void handle_answer()
    {
        const auto now = boot_clock::now();
        if (in_outage_) {
            log_event(event::store_back, {{"kind", kind_}});
            callbacks_.on_recovered();
        }
        in_outage_ = false;
        failures_ = 0;
        last_answer_ = now;
        health_.record_answer(now);
    }

    void log_changes(const store_changes& changes)
    {
        log_event(event::store_watch_ended, {{"kind", kind_},
                                             {"after", std::to_string(last_revision_.value)},
                                             {"at", std::to_string(changes.at_revision.value)},
                                             {"events", std::to_string(changes.events.size())},
                                             {"ms", std::to_string(call_age().count())}});
    }

    void handle_failure(const store_error& error)
    {
        log_event(event::store_call_failed, {{"kind", kind_},
                                             {"call", has_listing_ ? "watch" : "list"},
                                             {"after", std::to_string(last_revision_.value)},
                                             {"failure", std::string{to_name(error.failure())}},
                                             {"reason", error.what()},
                                             {"ms", std::to_string(call_age().count())}});
        if (error.failure() == store_failure::history_gone) {
            has_listing_ = false;
            log_event(event::store_history_gone, {{"kind", kind_}});
            return;
        }
        if (failures_++ == 0) {
            const auto now = boot_clock::now();
            failing_since_ = std::min(now, health_.failing_since().value_or(now));
        }
    }

    /**
     * Requests a new listing after an outage, as events do not distinguish entries that expired
     * from entries that left. Called before a failed call is retried.
     */
    void detect_outage()
    {
        const auto outage_duration = boot_clock::now() - failing_since_;
        if (failures_ == 0 || outage_duration < timing_.outage_threshold) {
            return;
        }
        if (!in_outage_) {
            const auto ms = std::chrono::duration_cast<milliseconds>(outage_duration);
            log_event(event::store_lost, {{"kind", kind_}, {"ms", std::to_string(ms.count())}});
        }
        in_outage_ = true;
        has_listing_ = false;
        next_listing_mode_ = read_mode::fresh;
    }

    /** Backoff before the next retry: doubles with each failure up to a maximum, then jitter. */
    nanoseconds next_retry_delay()
    {
        constexpr milliseconds base_delay{100};
        constexpr unsigned max_doublings = 3;
        const auto delay = base_delay * (1U << std::min(failures_, max_doublings));
        std::uniform_real_distribution<double> jitter{0.5, 1};
        return std::chrono::duration_cast<nanoseconds>(delay * jitter(random_));
    }

    Store& store_;
    watched_kind kind_id_;
    std::string kind_;
    watch_timing timing_;
    watch_callbacks callbacks_;
    store_health& health_;
    store_revision_tracker& revisions_;
    random_engine& random_;
    store_revision last_revision_;
    read_mode next_listing_mode_ = timing_.listing_mode;
    bool has_listing_ = false;
    bool synced_ = false;
    bool in_outage_ = false;
    /** A watch call with the full timeout is pending. */
    bool long_watch_pending_ = false;
    unsigned failures_ = 0;
    local_time failing_since_;
    local_time call_began_;
    local_time last_answer_;
};

} // namespace sniperock

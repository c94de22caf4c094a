/** @file store_watcher.hpp List-and-watch loop for one kind of object in the store. */
#pragma once

#include "event_type.hpp"
#include "random_type.hpp"
#include "store_health.hpp"
#include "store_news.hpp"
#include "store_role.hpp"
#include "store_type.hpp"

#include <algorithm>
#include <functional>
#include <string>

namespace sniperock {

/** Callbacks through which a watcher reports on the objects of its kind. */
struct watch_callbacks {
    /** The store answered again after an outage, or for the first time since it was restored. */
    std::function<void()> on_recovered;
    /** Every current object of the kind. */
    std::function<void(const store_listing&)> on_listing;
    /** Changes, in order. */
    std::function<void(const store_changes&)> on_changes;
    /** This VM, an announcer, has received a change that no other VM has reported. */
    std::function<void()> on_announce = [] {};
};

/** Timeouts and intervals of a watcher. */
struct watch_timing {
    /** How long one watch call waits for a change. */
    milliseconds watch_timeout{25'000};
    /** Minimum time between the starts of two watch calls; changes in between are batched. */
    milliseconds min_watch_interval{0};
    /** Time within which a change has to take effect on this VM. */
    milliseconds apply_limit{2000};
    /** Listings may be stale, as the watch that follows delivers the changes they lack. The first
     * listing after an outage is always fresh. */
    read_mode listing_mode = read_mode::fresh;
    /** Failures that last this long count as an outage of the store. */
    milliseconds outage_threshold{1000};
    /** Maximum wait for the liveness probe to succeed before a retry. The probe reads another kind,
     * and the store may answer for some kinds only. */
    milliseconds max_health_wait{15'000};
};

/** Parameters of one watch call. */
struct watch_call {
    read_mode mode = read_mode::fresh;
    milliseconds timeout{0};
    /** Minimum time from its start to that of the next one. */
    milliseconds min_interval{0};
};

/**
 * Selects the next watch call while the store answers.
 * @param catching_up another VM has reported a change that the last call did not deliver.
 */
inline watch_call select_watch_call(const watch_timing& timing, store_role role, bool catching_up)
{
    // An announcer's changes reach the followers before their own watches are due.
    constexpr double announcer_interval_factor = 0.4;
    // The store may forget a watch; nobody would tell a VM that is alone.
    constexpr double alone_timeout_factor = 0.25;
    constexpr milliseconds min_alone_timeout{250};
    constexpr milliseconds immediate{1};
    const auto scaled = [](milliseconds time, double factor) {
        return std::chrono::duration_cast<milliseconds>(time * factor);
    };
    if (catching_up) {
        return {read_mode::fresh, immediate, milliseconds{0}};
    }
    switch (role) {
    case store_role::follower:
        return {read_mode::stale, timing.watch_timeout, timing.min_watch_interval};
    case store_role::announcer:
        return {read_mode::fresh, timing.watch_timeout,
                scaled(timing.min_watch_interval, announcer_interval_factor)};
    default:
        return {
            read_mode::fresh,
            std::min(timing.watch_timeout,
                     std::max(scaled(timing.apply_limit, alone_timeout_factor), min_alone_timeout)),
            scaled(timing.min_watch_interval, announcer_interval_factor)};
    }
}

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
                if (std::exchange(cancelled_, false)) {
                    continue;
                }
                handle_failure(error);
            }
            if (failure != store_failure::history_gone) {
                co_await sleep_for(next_retry_delay());
                co_await wait_until_store_answers();
                detect_outage();
            }
        }
    }

    /** A listing was applied, and no other VM has reported a change that this VM lacks. */
    [[nodiscard]] bool up_to_date() const
    {
        const auto reported_at = revisions_.first_reported_after(kind_id_, last_revision_);
        // A report that a later fresh answer does not confirm is wrong.
        return synced_ && !catching_up_ && (!reported_at || *reported_at < verified_at_);
    }
    /** The kind's name in the store. */
    [[nodiscard]] const std::string& kind() const { return kind_; }
    /** When the store last answered a call of this watcher. */
    [[nodiscard]] local_time last_answer() const { return last_answer_; }
    /** Sets how this VM follows the store; takes effect at once. */
    void set_role(store_role role)
    {
        const bool was_follower = std::exchange(role_, role) == store_role::follower;
        if (was_follower && role != store_role::follower) {
            // The pending stale watch may miss what this VM now has to find by itself.
            cancel_pending_watch();
        }
    }
    /** Replaces the pending watch by an immediate fresh one if it has not delivered a change that
     * another VM has reported, as it is stale or the store has forgotten it, or if the store was
     * restored from a copy since the watch began. */
    void check_missed_change(local_time now)
    {
        if (!long_watch_pending_ || now < next_catch_up_) {
            return;
        }
        if (was_restored()) {
            cancel_pending_watch();
            return;
        }
        if (!missed_change(now)) {
            return;
        }
        log_event(event::store_change_missed,
                  {{"kind", kind_},
                   {"after", to_text(last_revision_)},
                   {"heard", to_text(revisions_.remote_revision(kind_id_))}});
        cancel_pending_watch();
    }

private:
    /** Timeout of a watch after a failure; its answer shows that the store answers again. */
    static constexpr milliseconds min_watch_timeout{1};

    [[nodiscard]] bool missed_change(local_time now) const
    {
        // The rest of the limit covers the announcement, the fresh call and a stalled process.
        constexpr double wait_fraction = 0.35;
        // A store's answer takes some ms; some links are slow.
        constexpr milliseconds delivery_grace{150};
        const auto reported_at = revisions_.first_reported_after(kind_id_, last_revision_);
        if (!reported_at || !watched_) {
            // A VM that starts is not ready before it has caught up.
            return reported_at.has_value();
        }
        return now - call_began_ >= delivery_grace &&
               now - *reported_at >= timing_.apply_limit * wait_fraction;
    }

    /** The store was restored since the last answer about this kind. */
    [[nodiscard]] bool was_restored() const
    {
        return std::max(store_.newest_era(), revisions_.newest_era()) > last_revision_.era;
    }

    void cancel_pending_watch()
    {
        catching_up_ = true;
        if (long_watch_pending_) {
            cancelled_ = true;
            store_.cancel_watch(kind_);
        }
    }

    /** Lists the kind if needed, then watches from the last known revision. Ends only by throwing
     * store_error. */
    task<> list_and_watch()
    {
        if (!has_listing_) {
            co_await list();
        }
        for (;;) {
            call_began_ = boot_clock::now();
            const auto call = failures_ == 0 ? select_watch_call(timing_, role_, catching_up_)
                                             : watch_call{read_mode::fresh, min_watch_timeout};
            long_watch_pending_ = call.timeout > min_watch_timeout;
            const auto changes =
                co_await store_.watch(kind_, last_revision_, call.timeout, call.mode);
            long_watch_pending_ = false;
            cancelled_ = false;
            handle_answer();
            watched_ = true;
            log_changes(changes, call.mode);
            next_listing_mode_ = timing_.listing_mode;
            if (changes.at_revision >= last_revision_) {
                apply_changes(changes);
            }
            if (call.mode == read_mode::fresh) {
                end_catch_up();
            }
            else if (changes.at_revision.era < last_revision_.era) {
                // A replica of the store that has not been restored yet.
                catching_up_ = true;
            }
            co_await sleep_until(call_began_ + call.min_interval);
        }
    }

    void apply_changes(const store_changes& changes)
    {
        last_revision_ = changes.at_revision;
        for (const auto& change : changes.events) {
            revisions_.record_local(kind_id_, change.object.revision);
        }
        callbacks_.on_changes(changes);
        announce();
    }

    /** Announces what this VM has received, unless another VM has already done so. */
    void announce()
    {
        const auto newest = revisions_.local_revisions().at(static_cast<std::size_t>(kind_id_));
        if (role_ == store_role::announcer && newest > revisions_.remote_revision(kind_id_) &&
            newest > announced_) {
            announced_ = newest;
            callbacks_.on_announce();
        }
    }

    /** Called after a fresh answer. If it lacks a change that another VM has reported, that report
     * is wrong, and must not cause a call each time. */
    void end_catch_up()
    {
        constexpr seconds wrong_report_pause{5};
        verified_at_ = call_began_;
        const bool is_wrong =
            was_restored() || revisions_.first_reported_after(kind_id_, last_revision_);
        if (catching_up_ && is_wrong) {
            next_catch_up_ = boot_clock::now() + wrong_report_pause;
        }
        catching_up_ = false;
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
        auto mode = std::exchange(next_listing_mode_, read_mode::fresh);
        if (role_ == store_role::alone) {
            mode = read_mode::fresh;
        }
        call_began_ = boot_clock::now();
        auto listing = co_await store_.list(kind_, mode);
        if (mode == read_mode::stale && synced_ && listing.at_revision <= last_revision_) {
            listing = co_await store_.list(kind_, read_mode::fresh);
        }
        if (listing.at_revision.era < last_revision_.era) {
            throw store_error(store_failure::unavailable, "answer of an earlier era");
        }
        handle_answer();
        if (synced_ && listing.at_revision.era > last_revision_.era) {
            log_event(event::store_restored, {{"kind", kind_},
                                              {"after", to_text(last_revision_)},
                                              {"at", to_text(listing.at_revision)}});
            callbacks_.on_recovered();
        }
        last_revision_ = listing.at_revision;
        catching_up_ = catching_up_ && mode == read_mode::stale;
        has_listing_ = true;
        synced_ = true;
        for (const auto& object : listing.objects) {
            revisions_.record_local(kind_id_, object.revision);
        }
        callbacks_.on_listing(listing);
        announce();
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

    void log_changes(const store_changes& changes, read_mode mode)
    {
        log_event(event::store_watch_ended, {{"kind", kind_},
                                             {"after", to_text(last_revision_)},
                                             {"at", to_text(changes.at_revision)},
                                             {"events", std::to_string(changes.events.size())},
                                             {"mode", std::string{to_name(mode)}},
                                             {"ms", std::to_string(call_age().count())}});
    }

    void handle_failure(const store_error& error)
    {
        log_event(event::store_call_failed, {{"kind", kind_},
                                             {"call", has_listing_ ? "watch" : "list"},
                                             {"after", to_text(last_revision_)},
                                             {"failure", std::string{to_name(error.failure())}},
                                             {"reason", error.what()},
                                             {"ms", std::to_string(call_age().count())}});
        if (error.failure() == store_failure::history_gone) {
            has_listing_ = false;
            if (was_restored()) {
                next_listing_mode_ = read_mode::fresh;
            }
            log_event(event::store_history_gone, {{"kind", kind_}});
            return;
        }
        if (error.failure() == store_failure::malformed) {
            // The same watch would get the same answer, and no later change would be seen.
            has_listing_ = false;
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
    /** A watch was answered. */
    bool watched_ = false;
    bool in_outage_ = false;
    store_role role_ = store_role::follower;
    /** A watch call that waits for a change is pending. */
    bool long_watch_pending_ = false;
    /** The pending call was cancelled by this watcher, which is no failure of the store. */
    bool cancelled_ = false;
    /** The next watch is fresh and immediate. */
    bool catching_up_ = false;
    /** Start of the last call that was answered with the store's current state. */
    local_time verified_at_;
    /** No earlier time for the next watch that replaces a pending one. */
    local_time next_catch_up_;
    /** Newest revision announced by this VM. */
    store_revision announced_;
    unsigned failures_ = 0;
    local_time failing_since_;
    local_time call_began_;
    local_time last_answer_;
};

} // namespace sniperock

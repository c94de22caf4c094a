/** @file store_follower.hpp Keeps up with all objects of one kind in the store. */
#pragma once

#include "event_type.hpp"
#include "random_type.hpp"
#include "store_health.hpp"
#include "store_revision_tracker.hpp"
#include "store_type.hpp"

#include <algorithm>
#include <functional>
#include <string>

namespace sniperock {

/** What a follower tells of the objects it follows. */
struct follower_sink {
    /** The store answered again after it had not for some time. */
    std::function<void()> returned;
    /** Everything there is now. */
    std::function<void(const store_listing&)> listed;
    /** Changes, in order. */
    std::function<void(const store_changes&)> changed;
};

/** Times of a follower. */
struct follower_times {
    /** How long one watch call waits for a change. */
    milliseconds watch{25'000};
    /** Least time between two watch calls; changes meanwhile come together. */
    milliseconds gather{0};
    /** Listings may be old: the watch that follows tells what they lack. After an outage they are
     * fresh all the same. */
    read_mode listing = read_mode::fresh;
    /** Without an answer for so long, the store counts as lost. */
    milliseconds lost_after{1000};
    /** Longest wait for a store that does not answer; it may answer about other kinds only. */
    milliseconds patience{15'000};
};

/**
 * Lists a kind and then watches it; lists again when the history is gone. Waits longer after each
 * failure, with jitter, so that a fleet does not ask all at once when the store returns. A watch
 * waits long only behind an answer: one that was begun while the store was silent is not answered
 * when it is back.
 */
template <object_store Store>
class store_follower {
public:
    /** @param followed the kind's number in @p news; @p kind is its name in the store. */
    store_follower(Store& store, followed_kind followed, std::string kind, follower_times times,
                   follower_sink sink, store_health& health, store_revision_tracker& news,
                   random_engine& random)
        : store_(store), followed_(followed), kind_(std::move(kind)), times_(times),
          sink_(std::move(sink)), health_(health), news_(news), random_(random)
    {
    }

    /** Follows until the io context ends. */
    task<> run()
    {
        for (;;) {
            auto failure = store_failure::unavailable;
            try {
                co_await follow();
            }
            catch (const store_error& error) {
                failure = error.failure();
                watching_ = false;
                note_failure(error);
            }
            if (failure != store_failure::history_gone) {
                co_await sleep_for(next_pause());
                co_await wait_for_store();
                check_outage();
            }
        }
    }

    /** A listing was taken over at least once. */
    [[nodiscard]] bool synced() const { return synced_; }
    /** What it follows. */
    [[nodiscard]] const std::string& kind() const { return kind_; }
    /** When the store last answered. */
    [[nodiscard]] local_time last_answer() const { return last_answer_; }
    /** A watch still waits for a change that another VM has seen: its answer will not come. */
    [[nodiscard]] bool missed_change(local_time now) const
    {
        // Answers of one change reach the VMs one after another, and some links are slow.
        constexpr milliseconds head_start{500};
        const auto since = std::max(call_began_, news_.heard_at(followed_));
        return watching_ && news_.heard(followed_) > at_ && now - since >= head_start;
    }
    /** Logs a missed change. */
    void note_missed() const
    {
        log_event(event::store_change_missed,
                  {{"kind", kind_},
                   {"after", std::to_string(at_.value)},
                   {"heard", std::to_string(news_.heard(followed_).value)}});
    }

private:
    /** What a watch waits for a change when its answer is to show that the store answers. */
    static constexpr milliseconds shortest_watch{1};

    /** Goes on from where it was; ends with an exception. */
    task<> follow()
    {
        if (!listed_) {
            co_await list();
        }
        for (;;) {
            call_began_ = boot_clock::now();
            watching_ = failures_ == 0;
            const auto wait = watching_ ? times_.watch : shortest_watch;
            const auto changes = co_await store_.watch(kind_, at_, wait);
            watching_ = false;
            note_answer();
            note_changes(changes);
            next_listing_ = times_.listing;
            at_ = changes.at_revision;
            for (const auto& change : changes.events) {
                news_.saw(followed_, change.object.revision);
            }
            sink_.changed(changes);
            co_await sleep_until(call_began_ + times_.gather);
        }
    }

    /** Waits until the store answers pulses, but not for ever. */
    task<> wait_for_store()
    {
        constexpr milliseconds poll{100};
        const auto until = boot_clock::now() + times_.patience;
        while (!health_.answering() && boot_clock::now() < until) {
            co_await sleep_for(poll);
        }
    }

    /** Takes a listing over. What is known never gets older. */
    task<> list()
    {
        // Fresh the next time, unless the watch that follows finds the history it needs.
        const auto mode = std::exchange(next_listing_, read_mode::fresh);
        call_began_ = boot_clock::now();
        auto listing = co_await store_.list(kind_, mode);
        if (mode == read_mode::stale && synced_ && listing.at_revision <= at_) {
            listing = co_await store_.list(kind_, read_mode::fresh);
        }
        note_answer();
        at_ = listing.at_revision;
        listed_ = true;
        synced_ = true;
        for (const auto& object : listing.objects) {
            news_.saw(followed_, object.revision);
        }
        sink_.listed(listing);
    }

    /** Since the call under way began. */
    [[nodiscard]] milliseconds call_age() const
    {
        return std::chrono::duration_cast<milliseconds>(boot_clock::now() - call_began_);
    }

    void note_answer()
    {
        const auto now = boot_clock::now();
        if (lost_) {
            log_event(event::store_back, {{"kind", kind_}});
            sink_.returned();
        }
        lost_ = false;
        failures_ = 0;
        last_answer_ = now;
        health_.answered(now);
    }

    void note_changes(const store_changes& changes)
    {
        log_event(event::store_watch_ended, {{"kind", kind_},
                                             {"after", std::to_string(at_.value)},
                                             {"at", std::to_string(changes.at_revision.value)},
                                             {"events", std::to_string(changes.events.size())},
                                             {"ms", std::to_string(call_age().count())}});
    }

    void note_failure(const store_error& error)
    {
        log_event(event::store_call_failed, {{"kind", kind_},
                                             {"call", listed_ ? "watch" : "list"},
                                             {"after", std::to_string(at_.value)},
                                             {"failure", std::string{to_name(error.failure())}},
                                             {"reason", error.what()},
                                             {"ms", std::to_string(call_age().count())}});
        if (error.failure() == store_failure::history_gone) {
            listed_ = false;
            log_event(event::store_history_gone, {{"kind", kind_}});
            return;
        }
        if (failures_++ == 0) {
            const auto now = boot_clock::now();
            failing_since_ = std::min(now, health_.failing_since().value_or(now));
        }
    }

    /**
     * After an outage the kind is read anew: events cannot tell lapsed entries from those that
     * left. Called before a failed call is tried again.
     */
    void check_outage()
    {
        const auto lasted = boot_clock::now() - failing_since_;
        if (failures_ == 0 || lasted < times_.lost_after) {
            return;
        }
        if (!lost_) {
            const auto ms = std::chrono::duration_cast<milliseconds>(lasted);
            log_event(event::store_lost, {{"kind", kind_}, {"ms", std::to_string(ms.count())}});
        }
        lost_ = true;
        listed_ = false;
        next_listing_ = read_mode::fresh;
    }

    /** The pause before the next try: doubles from a tenth of a second up to the longest. */
    nanoseconds next_pause()
    {
        constexpr milliseconds first{100};
        constexpr unsigned most_doublings = 3;
        const auto pause = first * (1U << std::min(failures_, most_doublings));
        std::uniform_real_distribution<double> jitter{0.5, 1};
        return std::chrono::duration_cast<nanoseconds>(pause * jitter(random_));
    }

    Store& store_;
    followed_kind followed_;
    std::string kind_;
    follower_times times_;
    follower_sink sink_;
    store_health& health_;
    store_revision_tracker& news_;
    random_engine& random_;
    store_revision at_;
    read_mode next_listing_ = times_.listing;
    bool listed_ = false;
    bool synced_ = false;
    bool lost_ = false;
    /** A watch waits for a change. */
    bool watching_ = false;
    unsigned failures_ = 0;
    local_time failing_since_;
    local_time call_began_;
    local_time last_answer_;
};

} // namespace sniperock

/** @file store_liveness_probe.hpp Detects a store outage while watches wait for changes. */
#pragma once

#include "random_type.hpp"
#include "store_health.hpp"
#include "store_type.hpp"

#include <string>
#include <utility>

namespace sniperock {

/** Intervals and timeouts of a liveness probe. */
struct probe_timing {
    /** Time without an answer to any call after which the store is probed. */
    milliseconds idle_interval{2000};
    /** Timeout of a probe; a small read not answered by then is never answered. */
    milliseconds timeout{1000};
    /** Maximum delay before the next probe while the store does not answer. */
    milliseconds max_retry_delay{500};
};

/**
 * Requests a small listing, which may be stale, whenever no call to the store was answered for some
 * time. A pending watch does not show whether nothing changed or its answer was lost. When a probe
 * fails, all connections are therefore dropped, so that no watch stays pending after an outage.
 */
template <object_store Store>
class store_liveness_probe {
public:
    /** @param kind name in the store of a kind with few objects. */
    store_liveness_probe(const asio::any_io_executor& executor, Store& store, std::string kind,
                         probe_timing timing, store_health& health, random_engine& random)
        : executor_(executor), store_(store), kind_(std::move(kind)), timing_(timing),
          health_(health), random_(random), wake_up_(executor)
    {
    }

    /** Sets the time without an answer after which the store is probed. */
    void set_idle_interval(milliseconds interval)
    {
        if (std::exchange(timing_.idle_interval, interval) > interval) {
            wake_up_.notify();
        }
    }
    /** Probes the store now. */
    void request()
    {
        requested_ = true;
        wake_up_.notify();
    }

    /** Runs until the io context stops. */
    task<> run()
    {
        for (;;) {
            const auto due = health_.last_answer_at() + timing_.idle_interval;
            const auto now = boot_clock::now();
            if (now < due && !requested_ && health_.is_answering()) {
                co_await wake_up_.wait_for(due - now);
                continue;
            }
            requested_ = false;
            const bool answered = co_await probe();
            if (!answered) {
                co_await sleep_for(next_retry_delay());
            }
        }
    }

private:
    /** @return true if the store answered in time. */
    task<bool> probe()
    {
        const auto began = boot_clock::now();
        std::string reason;
        const scoped_timeout timeout_guard(executor_, timing_.timeout,
                                           [this] { store_.drop_connections(); });
        try {
            co_await store_.list(kind_, read_mode::stale);
        }
        catch (const store_error& error) {
            reason = timeout_guard.expired() ? "no answer in time" : error.what();
        }
        const bool answered = reason.empty();
        if (answered) {
            health_.record_answer(boot_clock::now());
        }
        else {
            health_.record_probe_failure(began, reason);
            store_.drop_connections();
        }
        co_return answered;
    }

    /** Delay with jitter, so that the VMs of a fleet do not probe all at once. */
    nanoseconds next_retry_delay()
    {
        std::uniform_real_distribution<double> jitter{0.5, 1};
        return std::chrono::duration_cast<nanoseconds>(timing_.max_retry_delay * jitter(random_));
    }

    asio::any_io_executor executor_;
    Store& store_;
    std::string kind_;
    probe_timing timing_;
    store_health& health_;
    random_engine& random_;
    async_signal wake_up_;
    bool requested_ = false;
};

} // namespace sniperock

/** @file store_pulse.hpp Notices that the store went silent while watches wait for changes. */
#pragma once

#include "random_type.hpp"
#include "store_health.hpp"
#include "store_type.hpp"

#include <string>
#include <utility>

namespace sniperock {

/** Times of a pulse. */
struct pulse_times {
    /** The store is asked once nothing was heard of it for so long. */
    milliseconds period{2000};
    /** A small read without an answer for so long is not answered any more. */
    milliseconds answer_limit{1000};
    /** Longest pause before the next try while the store does not answer. */
    milliseconds retry{500};
};

/**
 * Asks the store for a small listing, which may be old, whenever nothing was heard of it for a
 * while. A watch that waits looks the same whether nothing changed or its answer was lost: once a
 * pulse fails, every open connection is dropped, so that no watch waits on behind an outage.
 */
template <object_store Store>
class store_pulse {
public:
    /** @param kind a kind of few objects. */
    store_pulse(const asio::any_io_executor& executor, Store& store, std::string kind,
                pulse_times times, store_health& health, random_engine& random)
        : executor_(executor), store_(store), kind_(std::move(kind)), times_(times),
          health_(health), random_(random)
    {
    }

    /** Asks until the io context ends. */
    task<> run()
    {
        for (;;) {
            const auto due = health_.answered_at() + times_.period;
            co_await sleep_until(due);
            if (health_.answered_at() + times_.period > due) {
                continue;
            }
            const bool answered = co_await ask();
            if (!answered) {
                co_await sleep_for(next_pause());
            }
        }
    }

private:
    task<bool> ask()
    {
        const auto began = boot_clock::now();
        std::string reason;
        const scoped_timeout guard(executor_, times_.answer_limit,
                                   [this] { store_.drop_connections(); });
        try {
            co_await store_.list(kind_, read_mode::stale);
        }
        catch (const store_error& error) {
            reason = guard.expired() ? "no answer in time" : error.what();
        }
        const bool answered = reason.empty();
        if (answered) {
            health_.answered(boot_clock::now());
        }
        else {
            health_.failed(began, reason);
            store_.drop_connections();
        }
        co_return answered;
    }

    /** Spread, so that a fleet does not ask all at once. */
    nanoseconds next_pause()
    {
        std::uniform_real_distribution<double> jitter{0.5, 1};
        return std::chrono::duration_cast<nanoseconds>(times_.retry * jitter(random_));
    }

    asio::any_io_executor executor_;
    Store& store_;
    std::string kind_;
    pulse_times times_;
    store_health& health_;
    random_engine& random_;
};

} // namespace sniperock

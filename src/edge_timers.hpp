/** @file edge_timers.hpp Many deadlines of one io thread on one system timer. */
#pragma once

#include "clock_type.hpp"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace sniperock {

/**
 * Runs callbacks at or up to one tick after their time. Used by one thread; callbacks run on it.
 */
class edge_timers {
public:
    /** Names one waiting callback. */
    using timer_key = std::pair<local_time, std::uint64_t>;

    /** Two due times closer than this may share one wake-up. */
    static constexpr milliseconds tick{1};

    explicit edge_timers(asio::io_context& io) : timer_(io) {}

    /** Runs @p run once at @p at, unless it is cancelled before. */
    timer_key add(local_time at, std::function<void()> run);
    /** Drops a callback; does nothing if it ran already. */
    void cancel(const timer_key& key) { waiting_.erase(key); }
    /** Runs nothing any more. */
    void stop();

private:
    void arm(local_time now);
    void run_due();

    asio::steady_timer timer_;
    std::map<timer_key, std::function<void()>> waiting_;
    std::uint64_t next_number_ = 1;
    local_time armed_at_ = local_time::max();
    bool stopped_ = false;
};

} // namespace sniperock

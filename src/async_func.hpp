/** @file async_func.hpp Timers and helpers for coroutines on the io thread. */
#pragma once

#include "clock_type.hpp"

#include <asio/any_io_executor.hpp>
#include <asio/awaitable.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace sniperock {

/** Coroutine on the io thread that other coroutines can await. */
template <typename T = void>
using task = asio::awaitable<T>;

/** Auto-reset event that one coroutine can await. */
class async_signal {
public:
    explicit async_signal(const asio::any_io_executor& executor) : timer_(executor) {}

    /** Wakes the waiting coroutine; without one, the next wait returns at once. */
    void notify();
    /** Waits for notify() or until @p timeout has elapsed. */
    task<> wait_for(nanoseconds timeout);

private:
    asio::steady_timer timer_;
    bool signalled_ = false;
};

/** Calls a handler after a timeout unless cancelled or destroyed before. */
class scoped_timeout {
public:
    scoped_timeout(const asio::any_io_executor& executor, nanoseconds timeout,
                   std::function<void()> handler);
    ~scoped_timeout() { cancel(); }
    scoped_timeout(const scoped_timeout&) = delete;
    scoped_timeout& operator=(const scoped_timeout&) = delete;

    void cancel();
    [[nodiscard]] bool expired() const { return state_->expired; }

private:
    struct state {
        std::function<void()> handler;
        bool expired = false;
    };

    std::shared_ptr<state> state_;
    asio::steady_timer timer_;
};

task<> sleep_for(nanoseconds duration);
/** Sleeps until @p time; returns at once if it has passed. */
task<> sleep_until(local_time time);

/** Starts a detached coroutine. An exception that leaves it ends the process, so @p operation has
 * to handle its errors. */
void start_task(const asio::any_io_executor& executor, task<> operation);

} // namespace sniperock

/** @file async_func.hpp Helpers for coroutines on one io thread. */
#pragma once

#include "clock_type.hpp"

#include <asio/any_io_executor.hpp>
#include <asio/awaitable.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace sniperock {

/** An operation of the io thread that other operations wait for. */
template <typename T = void>
using task = asio::awaitable<T>;

/** Lets one coroutine wait until something changes. */
class async_signal {
public:
    explicit async_signal(const asio::any_io_executor& executor) : timer_(executor) {}

    /** Wakes the waiting coroutine, or lets the next wait end at once. */
    void notify();
    /** Waits for notify(), at most for @p limit. */
    task<> wait_for(nanoseconds limit);

private:
    asio::steady_timer timer_;
    bool signalled_ = false;
};

/** Calls a function at a time unless it is destroyed before. */
class scoped_timeout {
public:
    scoped_timeout(const asio::any_io_executor& executor, nanoseconds after,
                   std::function<void()> expired);
    ~scoped_timeout() { cancel(); }
    scoped_timeout(const scoped_timeout&) = delete;
    scoped_timeout& operator=(const scoped_timeout&) = delete;

    void cancel();
    [[nodiscard]] bool expired() const { return state_->expired; }

private:
    struct state {
        std::function<void()> call;
        bool expired = false;
    };

    std::shared_ptr<state> state_;
    asio::steady_timer timer_;
};

/** Waits. */
task<> sleep_for(nanoseconds time);
/** Waits until a time; not at all if it has passed. */
task<> sleep_until(local_time time);

/** Starts @p work by itself; what it throws ends the process, so it has to handle its errors. */
void start_task(const asio::any_io_executor& executor, task<> work);

} // namespace sniperock

/** @file async.cpp Timers and helpers for coroutines on the io thread. */
#include "async_func.hpp"

#include <asio/co_spawn.hpp>
#include <asio/redirect_error.hpp>
#include <asio/this_coro.hpp>
#include <asio/use_awaitable.hpp>

#include <algorithm>
#include <exception>

namespace sniperock {

void async_signal::notify()
{
    signalled_ = true;
    timer_.cancel();
}

task<> async_signal::wait_for(nanoseconds timeout)
{
    if (!signalled_) {
        asio::error_code ignored;
        timer_.expires_after(std::max(timeout, nanoseconds{0}));
        co_await timer_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    signalled_ = false;
}

scoped_timeout::scoped_timeout(const asio::any_io_executor& executor, nanoseconds timeout,
                               std::function<void()> handler)
    : state_(std::make_shared<state>(state{std::move(handler)})), timer_(executor)
{
    timer_.expires_after(std::max(timeout, nanoseconds{0}));
    timer_.async_wait([timer_state = state_](const asio::error_code& error) {
        if (!error && timer_state->handler) {
            timer_state->expired = true;
            timer_state->handler();
        }
    });
}

void scoped_timeout::cancel()
{
    state_->handler = nullptr;
    timer_.cancel();
}

task<> sleep_for(nanoseconds duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    asio::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

task<> sleep_until(local_time time)
{
    co_await sleep_for(std::max(nanoseconds::zero(), time - boot_clock::now()));
}

void start_task(const asio::any_io_executor& executor, task<> operation)
{
    asio::co_spawn(executor, std::move(operation), [](const std::exception_ptr& failure) {
        if (failure) {
            std::rethrow_exception(failure);
        }
    });
}

} // namespace sniperock

/** @file edge_timers.cpp Many deadlines of one io thread on one system timer. */
#include "edge_timers.hpp"

#include <algorithm>

namespace sniperock {

edge_timers::timer_key edge_timers::add(local_time at, std::function<void()> run)
{
    const timer_key key{at, next_number_++};
    waiting_.emplace(key, std::move(run));
    if (at + tick < armed_at_) {
        arm(boot_clock::now());
    }
    return key;
}

void edge_timers::arm(local_time now)
{
    if (stopped_ || waiting_.empty()) {
        armed_at_ = local_time::max();
        return;
    }
    armed_at_ = std::max(waiting_.begin()->first.first, now + tick);
    timer_.expires_after(armed_at_ - now);
    timer_.async_wait([this](const asio::error_code& error) {
        if (!error) {
            run_due();
        }
    });
}

void edge_timers::run_due()
{
    const auto now = boot_clock::now();
    while (!stopped_ && !waiting_.empty() && waiting_.begin()->first.first <= now) {
        const auto node = waiting_.extract(waiting_.begin());
        node.mapped()();
    }
    arm(now);
}

void edge_timers::stop()
{
    stopped_ = true;
    waiting_.clear();
    timer_.cancel();
}

} // namespace sniperock

/** @file entry_worker.cpp A thread that runs posted tasks one after another. */
#include "entry_worker.hpp"

namespace sniperock {

serial_worker::serial_worker(milliseconds period, std::function<void()> periodic)
    : period_(period), periodic_(std::move(periodic))
{
}

serial_worker::~serial_worker()
{
    stop();
}

void serial_worker::start()
{
    thread_ = std::thread([this] { run(); });
}

void serial_worker::stop()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    wake_.notify_all();
    if (thread_.joinable()) {
        thread_.join();
    }
}

void serial_worker::post(std::function<void()> task)
{
    {
        const std::lock_guard lock(mutex_);
        tasks_.push_back(std::move(task));
    }
    wake_.notify_all();
}

void serial_worker::run()
{
    auto next_period = boot_clock::now();
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        const auto left = next_period - boot_clock::now();
        wake_.wait_for(lock, left, [this] { return stopping_ || !tasks_.empty(); });
        std::deque<std::function<void()>> batch;
        batch.swap(tasks_);
        lock.unlock();
        for (const auto& task : batch) {
            task();
        }
        if (periodic_ && boot_clock::now() >= next_period) {
            periodic_();
        }
        if (boot_clock::now() >= next_period) {
            next_period = boot_clock::now() + period_;
        }
        lock.lock();
    }
}

} // namespace sniperock

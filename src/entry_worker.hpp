/** @file entry_worker.hpp A thread that runs posted tasks one after another. */
#pragma once

#include "clock_type.hpp"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace sniperock {

/** Runs tasks in the order in which they were posted, and a periodic one in between. */
class serial_worker {
public:
    /**
     * @param period time between two runs of @p periodic.
     * @param periodic may be empty.
     */
    serial_worker(milliseconds period, std::function<void()> periodic);
    ~serial_worker();
    serial_worker(const serial_worker&) = delete;
    serial_worker& operator=(const serial_worker&) = delete;

    void start();
    /** Finishes the task at hand, drops the rest and joins. */
    void stop();
    /** May be called from any thread. */
    void post(std::function<void()> task);

private:
    void run();

    milliseconds period_;
    std::function<void()> periodic_;
    std::mutex mutex_;
    std::condition_variable wake_;
    std::deque<std::function<void()>> tasks_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace sniperock

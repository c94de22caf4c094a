/** @file load_runner.cpp Runs the parts of a load on threads and adds up what callers got. */
#include "load_func.hpp"
#include "load_worker.hpp"

#include <algorithm>
#include <condition_variable>
#include <iostream>
#include <mutex>
#include <numeric>
#include <thread>

namespace sniperock {
namespace {

constexpr seconds progress_period{2};
/** Lets every thread be ready before the first call. */
constexpr milliseconds start_delay{20};

void add_counts(load_counts& into, const load_counts& part)
{
    static constexpr std::array fields{
        &load_counts::sent,      &load_counts::answered, &load_counts::failed,
        &load_counts::not_run,   &load_counts::unknown,  &load_counts::cut_off,
        &load_counts::timed_out, &load_counts::not_sent, &load_counts::crossed,
        &load_counts::damaged,   &load_counts::doubled,  &load_counts::retried};
    std::ranges::for_each(fields, [&](auto field) { into.*field += part.*field; });
    for (const auto& [reason, count] : part.reasons) {
        into.reasons[reason] += count;
    }
    into.latencies.merge(part.latencies);
}

void add_slice(timeline_slice& into, const timeline_slice& part)
{
    into.sent += part.sent;
    into.answered += part.answered;
    into.not_run += part.not_run;
    into.lost += part.lost;
    into.longest = std::max(into.longest, part.longest);
}

/** Prints a line now and then until destroyed. */
class progress_printer {
public:
    progress_printer(const std::vector<std::unique_ptr<load_worker>>& workers, local_time start)
        : workers_(workers), start_(start), thread_([this] { print_lines(); })
    {
    }
    ~progress_printer()
    {
        {
            const std::lock_guard lock(mutex_);
            done_ = true;
        }
        wake_.notify_all();
        thread_.join();
    }
    progress_printer(const progress_printer&) = delete;
    progress_printer& operator=(const progress_printer&) = delete;

private:
    void print_lines()
    {
        std::unique_lock lock(mutex_);
        while (!wake_.wait_for(lock, progress_period, [this] { return done_; })) {
            std::uint64_t sent = 0;
            std::uint64_t ended = 0;
            for (const auto& worker : workers_) {
                sent += worker->sent();
                ended += worker->ended();
            }
            const auto passed =
                std::chrono::duration_cast<seconds>(boot_clock::now() - start_).count();
            std::cerr << passed << " s: " << sent << " calls sent, " << ended << " ended\n";
        }
    }

    const std::vector<std::unique_ptr<load_worker>>& workers_;
    local_time start_;
    std::mutex mutex_;
    std::condition_variable wake_;
    bool done_ = false;
    std::thread thread_;
};

} // namespace

void merge_result(load_result& into, load_result&& part)
{
    for (const auto& [row, counts] : part.rows) {
        add_counts(into.rows[row], counts);
    }
    into.timeline.resize(std::max(into.timeline.size(), part.timeline.size()));
    for (std::size_t at = 0; at < part.timeline.size(); ++at) {
        add_slice(into.timeline.at(at), part.timeline.at(at));
    }
    std::ranges::move(part.not_run_ids, std::back_inserter(into.not_run_ids));
    into.most_connections += part.most_connections;
}

load_counts total_counts(const load_result& result)
{
    load_counts total;
    for (const auto& [row, counts] : result.rows) {
        add_counts(total, counts);
    }
    return total;
}

load_result run_load(const load_plan& plan)
{
    const auto count = std::max<std::size_t>(1, plan.threads);
    std::vector<std::unique_ptr<load_worker>> workers;
    for (std::size_t index = 0; index < count; ++index) {
        workers.push_back(std::make_unique<load_worker>(plan, index, count));
    }
    const auto start = boot_clock::now() + start_delay;
    {
        std::unique_ptr<progress_printer> printer;
        if (plan.progress) {
            printer = std::make_unique<progress_printer>(workers, start);
        }
        std::vector<std::jthread> threads;
        threads.reserve(workers.size());
        for (const auto& worker : workers) {
            threads.emplace_back([&worker, start] { worker->run(start); });
        }
    }
    load_result result;
    for (const auto& worker : workers) {
        merge_result(result, worker->take_result());
    }
    return result;
}

} // namespace sniperock

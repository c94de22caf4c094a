/** @file load_worker.hpp One thread's part of a load. */
#pragma once

#include "http_parser.hpp"
#include "load_arrivals.hpp"
#include "load_check.hpp"
#include "load_locate.hpp"
#include "load_type.hpp"

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace sniperock {

/** One caller's connection. */
struct load_connection {
    explicit load_connection(asio::io_context& io);

    asio::ip::tcp::socket socket;
    asio::ip::tcp::endpoint endpoint;
    http_message_parser parser;
    std::string buffer;
    /** A call on it is given up at this time. */
    local_time give_up_at{};
    bool gave_up = false;
    /** It carried a call before. */
    bool used = false;
};

/** Sends a part of every stream's calls; everything runs on the thread that calls run(). */
class load_worker {
public:
    /** @param index of @p count workers. */
    load_worker(const load_plan& plan, std::size_t index, std::size_t count);

    /** Sends all calls and returns when the last has ended. @param start of the run. */
    void run(local_time start);
    /** What callers got; call after run(). */
    load_result take_result() { return std::move(result_); }
    /** Calls sent so far; from any thread. */
    [[nodiscard]] std::uint64_t sent() const { return sent_.load(std::memory_order_relaxed); }
    /** Calls that ended so far; from any thread. */
    [[nodiscard]] std::uint64_t ended() const { return ended_.load(std::memory_order_relaxed); }

private:
    /** One call and the time it was meant to be sent at. */
    struct intended_call {
        std::size_t stream = 0;
        local_time at;
        std::uint64_t number = 0;
    };
    /** How one attempt ended. */
    enum class attempt_end {
        answered,
        failed,
        not_run,
        unknown,
        crossed,
        damaged,
        cut_off,
        timed_out,
        not_sent
    };

    asio::awaitable<void> generate(local_time start);
    asio::awaitable<void> sweep();
    asio::awaitable<void> perform(intended_call call);
    asio::awaitable<attempt_end> attempt(const intended_call& call, const std::string& id,
                                         load_counts& counts);
    asio::awaitable<std::unique_ptr<load_connection>> connect(const intended_call& call);
    asio::awaitable<bool> open(load_connection& connection);
    asio::awaitable<attempt_end> exchange(load_connection& connection, const intended_call& call,
                                          const std::string& id, load_counts& counts);
    asio::awaitable<void> refresh(std::size_t stream, locate_cache& cache);
    asio::awaitable<std::optional<located>> ask(const asio::ip::tcp::endpoint& endpoint,
                                                const load_stream& stream);

    void dispatch(const intended_call& call);
    void note_end(const intended_call& call, attempt_end end, load_counts& counts);
    void note_slice(const intended_call& call, attempt_end end, microseconds latency);
    std::unique_ptr<load_connection> take_idle(const asio::ip::tcp::endpoint& endpoint,
                                               load_counts& counts);
    void keep(std::unique_ptr<load_connection> connection);
    void evict_idle();
    locate_cache& cache_for(const intended_call& call);
    std::string request_head(const intended_call& call, const std::string& id) const;
    load_counts& counts_for(std::size_t stream);
    static attempt_end to_end(answer_verdict verdict);
    [[nodiscard]] bool may_repeat(const intended_call& call, attempt_end end) const;

    const load_plan& plan_;
    std::size_t index_;
    std::size_t max_connections_;
    asio::io_context io_{1};
    local_time start_;
    std::vector<asio::ip::tcp::endpoint> targets_;
    std::vector<asio::ip::tcp::endpoint> locate_;
    std::vector<load_arrivals> arrivals_;
    std::vector<load_counts*> counts_;
    std::vector<std::string> bodies_;
    std::vector<std::string> digests_;
    /** Locate answers by service and caller. */
    std::map<std::string, std::vector<locate_cache>> caches_;
    std::map<asio::ip::tcp::endpoint, std::vector<std::unique_ptr<load_connection>>> idle_;
    std::size_t idle_count_ = 0;
    std::size_t active_ = 0;
    std::set<load_connection*> busy_;
    std::deque<intended_call> backlog_;
    std::uint64_t next_number_ = 1;
    std::uint64_t next_target_ = 0;
    bool generated_ = false;
    load_result result_;
    std::atomic<std::uint64_t> sent_{0};
    std::atomic<std::uint64_t> ended_{0};
};

} // namespace sniperock

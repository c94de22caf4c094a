/** @file probe_runner.hpp Sends probes to servers over Asio. */
#pragma once

#include "clock_type.hpp"
#include "dispatch_type.hpp"
#include "probe_schedule.hpp"

#include <asio/any_io_executor.hpp>
#include <asio/awaitable.hpp>

#include <functional>
#include <optional>

namespace sniperock {

/** Called with the report of a probe's answer; empty if none came in time or it had none. */
using probe_handler = std::function<void(const server_key&, const std::optional<load_report>&)>;

/** Asks servers for their load with GET /.probe, each time on a connection of its own. */
class probe_runner {
public:
    /**
     * @param executor where probes run; one thread at a time.
     * @param timeout longest time for one probe, with connecting.
     * @param done called on the executor.
     */
    probe_runner(asio::any_io_executor executor, milliseconds timeout, probe_handler done)
        : executor_(std::move(executor)), timeout_(timeout), done_(std::move(done))
    {
    }

    /** Starts one probe. */
    void run(const probe_order& order);

private:
    [[nodiscard]] asio::awaitable<void> probe(probe_order order) const;

    asio::any_io_executor executor_;
    milliseconds timeout_;
    probe_handler done_;
};

} // namespace sniperock

/** @file edge_server.hpp Serves callers' connections on several threads. */
#pragma once

#include "dispatch.hpp"
#include "edge_router.hpp"
#include "edge_type.hpp"
#include "locate.hpp"
#include "metrics.hpp"

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>

namespace sniperock {

/** Counts of the callers' side, for the pages. */
struct edge_counters {
    std::atomic<std::uint64_t> connections{0};
    /** Calls that run now. */
    std::atomic<std::uint64_t> running{0};
    std::atomic<std::uint64_t> answered{0};
    std::atomic<std::uint64_t> not_run{0};
    std::atomic<std::uint64_t> unknown{0};
};

/** The router in force, swapped whole on each configuration change. */
class router_holder {
public:
    [[nodiscard]] std::shared_ptr<const edge_router> get() const
    {
        const std::lock_guard lock(mutex_);
        return router_;
    }
    void set(std::shared_ptr<const edge_router> router)
    {
        const std::lock_guard lock(mutex_);
        router_ = std::move(router);
        version_.fetch_add(1, std::memory_order_release);
    }
    /** Changes after each set(). */
    [[nodiscard]] std::uint64_t version() const { return version_.load(std::memory_order_acquire); }

private:
    std::atomic<std::uint64_t> version_{0};
    mutable std::mutex mutex_;
    std::shared_ptr<const edge_router> router_;
};

/** Accepts callers and passes their calls to servers. */
class edge_server {
public:
    /**
     * @param limits limits and the address to listen on.
     * @param slots hands out servers' slots; must outlive this.
     * @param routers the router in force; must outlive this.
     * @param locator answers /locate; must outlive this.
     * @param counters counts of this edge; must outlive this.
     * @param measured where metrics are registered; must outlive this.
     */
    edge_server(edge_limits limits, dispatcher& slots, router_holder& routers,
                locate_service& locator, edge_counters& counters, metrics& measured);
    ~edge_server();
    edge_server(const edge_server&) = delete;
    edge_server& operator=(const edge_server&) = delete;

    /** Opens the listening socket and starts the threads. @throws std::system_error */
    void start();
    /**
     * Stops accepting, lets running calls end and closes their connections after them.
     * @param bound longest wait.
     * @return how many calls still ran at the bound; they are cut off by stop().
     */
    std::size_t drain(milliseconds bound);
    /** Stops accepting, closes all connections and joins the threads. */
    void stop();
    /** The port listened on. */
    [[nodiscard]] std::uint16_t port() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace sniperock

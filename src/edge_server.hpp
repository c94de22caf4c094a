/** @file edge_server.hpp Serves callers' connections on several threads. */
#pragma once

#include "dispatch.hpp"
#include "edge_router.hpp"
#include "edge_type.hpp"
#include "locate.hpp"

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>

namespace sniperock {

/** Counts of the callers' side, for the pages. */
struct edge_counters {
    std::atomic<std::uint64_t> connections{0};
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
    }

private:
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
     */
    edge_server(edge_limits limits, dispatcher& slots, router_holder& routers,
                locate_service& locator, edge_counters& counters);
    ~edge_server();
    edge_server(const edge_server&) = delete;
    edge_server& operator=(const edge_server&) = delete;

    /** Opens the listening socket and starts the threads. @throws std::system_error */
    void start();
    /** Stops accepting, closes all connections and joins the threads. */
    void stop();
    /** The port listened on. */
    [[nodiscard]] std::uint16_t port() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace sniperock

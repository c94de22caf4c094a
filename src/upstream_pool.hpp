/** @file upstream_pool.hpp Pool of connections to upstreams. */
#pragma once

#include "http_connection.hpp"
#include "metrics.hpp"
#include "upstream_type.hpp"

#include <asio/io_context.hpp>

#include <memory>

namespace sniperock {

/** Creates connections to upstreams and keeps idle ones for reuse. */
class upstream_pool {
public:
    upstream_pool(asio::io_context& io, metrics& metrics_registry);

    /** Takes an idle connection that is not stale; null if there is none. */
    std::shared_ptr<http_connection> take_idle(upstream& item, local_time now);
    /** Creates a connection that is not connected yet. */
    std::shared_ptr<http_connection> make();
    /** Keeps a connection after an exchange, or closes it if it cannot be reused or kept. */
    void put_back(upstream& item, const std::shared_ptr<http_connection>& connection,
                  local_time now);
    /** Closes connections that were idle for too long; makes no system calls to check them. */
    static void close_idle(upstream& item, local_time now);

private:
    asio::io_context& io_;
    prometheus::Counter& opened_;
    prometheus::Counter& reused_;
};

} // namespace sniperock

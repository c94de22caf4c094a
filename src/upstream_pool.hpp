/** @file upstream_pool.hpp Kept connections to upstreams. */
#pragma once

#include "http_connection.hpp"
#include "metrics.hpp"
#include "upstream_type.hpp"

#include <asio/io_context.hpp>

#include <memory>

namespace sniperock {

/** Opens connections to upstreams and keeps those that can be used again. */
class upstream_pool {
public:
    upstream_pool(asio::io_context& io, metrics& measured);

    /** A kept connection that looks usable, or null. */
    std::shared_ptr<http_connection> take_idle(upstream& item, local_time now);
    /** A connection that is not connected yet. */
    std::shared_ptr<http_connection> make();
    /** Keeps a connection after an exchange, or closes it if it cannot be used again. */
    void put_back(upstream& item, const std::shared_ptr<http_connection>& connection,
                  local_time now);
    /** Closes what has been idle for too long; asks the system nothing. */
    static void close_idle(upstream& item, local_time now);

private:
    asio::io_context& io_;
    prometheus::Counter& opened_;
    prometheus::Counter& reused_;
};

} // namespace sniperock

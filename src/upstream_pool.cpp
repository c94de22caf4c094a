/** @file upstream_pool.cpp Pool of connections to upstreams. */
#include "upstream_pool.hpp"

#include "wire_dialect.hpp"

#include <algorithm>

namespace sniperock {
namespace {

/** Maximum number of idle connections per upstream. */
constexpr std::size_t max_idle = 3;
/** Keep-alive time if the upstream does not state one; half of the shortest timeout that servers
 * usually have. */
constexpr milliseconds default_keep_alive{5000};
/** Fraction of the stated keep-alive time that is used, so that the upstream does not close the
 * connection first. */
constexpr double keep_alive_factor = 0.7;

/** Time that an idle connection is kept, from a Keep-Alive header such as "timeout=5, max=100". */
milliseconds keep_alive_time(const http_headers& headers)
{
    const auto header = headers.find("keep-alive");
    const auto pos = header ? header->find("timeout=") : std::string_view::npos;
    if (pos == std::string_view::npos) {
        return default_keep_alive;
    }
    const auto digits = header->substr(pos + std::string_view{"timeout="}.size());
    const auto stated_timeout =
        parse_unsigned(digits.substr(0, digits.find_first_not_of("0123456789")));
    const auto timeout_s =
        static_cast<double>(std::min<std::uint64_t>(stated_timeout.value_or(0), 3600));
    return std::chrono::duration_cast<milliseconds>(
        std::chrono::duration<double>{timeout_s * keep_alive_factor});
}

} // namespace

upstream_pool::upstream_pool(asio::io_context& io, metrics& metrics_registry)
    : io_(io), opened_(metrics_registry.counter("sniperock_upstream_connections_total",
                                                "Connections used for a message to an upstream",
                                                {{"origin", "opened"}})),
      reused_(metrics_registry.counter("sniperock_upstream_connections_total",
                                       "Connections used for a message to an upstream",
                                       {{"origin", "kept"}}))
{
}

std::shared_ptr<http_connection> upstream_pool::take_idle(upstream& item, local_time now)
{
    while (!item.idle.empty()) {
        auto connection = item.idle.back();
        item.idle.pop_back();
        if (!connection->stale(now)) {
            reused_.Increment();
            return connection;
        }
        connection->close();
    }
    return nullptr;
}

std::shared_ptr<http_connection> upstream_pool::make()
{
    opened_.Increment();
    return std::make_shared<http_connection>(tcp_socket(io_.get_executor()));
}

void upstream_pool::put_back(upstream& item, const std::shared_ptr<http_connection>& connection,
                             local_time now)
{
    const auto idle_timeout = keep_alive_time(connection->head().headers);
    if (item.removed || item.idle.size() >= max_idle || idle_timeout <= milliseconds{0} ||
        !connection->reusable()) {
        connection->close();
        return;
    }
    connection->mark_idle(now, idle_timeout);
    item.idle.push_back(connection);
}

void upstream_pool::close_idle(upstream& item, local_time now)
{
    std::erase_if(item.idle, [now](const auto& connection) {
        const bool expired = connection->idle_expired(now);
        if (expired) {
            connection->close();
        }
        return expired;
    });
}

} // namespace sniperock

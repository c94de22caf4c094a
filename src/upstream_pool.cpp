/** @file upstream_pool.cpp Kept connections to upstreams. */
#include "upstream_pool.hpp"

#include "wire_dialect.hpp"

#include <algorithm>

namespace sniperock {
namespace {

/** Idle connections that are kept to one upstream. */
constexpr std::size_t most_idle = 3;
/** How long a connection is kept if the upstream does not state a time; half a usual minimum. */
constexpr milliseconds default_keep{5000};
/** Part of the stated time that is used, so that the upstream does not close it first. */
constexpr double used_part = 0.7;

/** Reads "timeout=5, max=100". */
milliseconds keep_time(const http_headers& headers)
{
    const auto text = headers.find("keep-alive");
    const auto at = text ? text->find("timeout=") : std::string_view::npos;
    if (at == std::string_view::npos) {
        return default_keep;
    }
    const auto digits = text->substr(at + std::string_view{"timeout="}.size());
    const auto stated = parse_unsigned(digits.substr(0, digits.find_first_not_of("0123456789")));
    const auto stated_s = static_cast<double>(std::min<std::uint64_t>(stated.value_or(0), 3600));
    return std::chrono::duration_cast<milliseconds>(
        std::chrono::duration<double>{stated_s * used_part});
}

} // namespace

upstream_pool::upstream_pool(asio::io_context& io, metrics& measured)
    : io_(io), opened_(measured.counter("sniperock_upstream_connections_total",
                                        "Connections used for a message to an upstream",
                                        {{"origin", "opened"}})),
      reused_(measured.counter("sniperock_upstream_connections_total",
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
    const auto keep_for = keep_time(connection->head().headers);
    if (item.gone || item.idle.size() >= most_idle || keep_for <= milliseconds{0} ||
        !connection->reusable()) {
        connection->close();
        return;
    }
    connection->mark_idle(now, keep_for);
    item.idle.push_back(connection);
}

void upstream_pool::close_idle(upstream& item, local_time now)
{
    std::erase_if(item.idle, [now](const auto& connection) {
        const bool over = connection->idle_expired(now);
        if (over) {
            connection->close();
        }
        return over;
    });
}

} // namespace sniperock

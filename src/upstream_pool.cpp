/** @file upstream_pool.cpp Keeps connections to servers. */
#include "upstream_pool.hpp"

#include <algorithm>
#include <functional>
#include <ranges>

namespace sniperock {
namespace {

constexpr std::size_t max_response_head_bytes = 65'536;
/** Idle connections kept for one server by one io thread. */
constexpr std::size_t max_idle = 64;

} // namespace

upstream_connection::upstream_connection(const asio::io_context::executor_type& executor)
    : stream(tcp_socket(executor)), parser(http_side::response, max_response_head_bytes)
{
}

void upstream_connection::watch()
{
    if (watching_ || !stream.is_open()) {
        return;
    }
    watching_ = true;
    stream.wait_read([self = shared_from_this()](const asio::error_code&) {
        self->watching_ = false;
        // The handler may replace itself while it runs.
        const auto handler = self->on_input_;
        if (handler && self->stream.is_open()) {
            handler();
        }
    });
}

std::size_t upstream_pool::key_hash::operator()(const server_key& key) const noexcept
{
    constexpr std::size_t spread = 31;
    const std::hash<std::string> hash;
    return hash(key.service) * spread + hash(key.server);
}

std::shared_ptr<upstream_connection> upstream_pool::take_idle(const grant& slot,
                                                              local_time proven_since)
{
    const auto found = servers_.find(slot.server);
    if (found == servers_.end()) {
        return nullptr;
    }
    auto& server = found->second;
    while (!server.idle.empty()) {
        auto& last = server.idle.back();
        if (last->last_answer < std::max(proven_since, server.distrusted_before)) {
            // The most recent one stands last: the others are older still.
            return nullptr;
        }
        auto connection = std::move(last);
        server.idle.pop_back();
        const bool moved = server.address != slot.address || server.port != slot.port;
        if (!moved && connection->stream.is_open()) {
            return connection;
        }
        connection->stream.close();
    }
    return nullptr;
}

std::shared_ptr<upstream_connection> upstream_pool::make_connection()
{
    return std::make_shared<upstream_connection>(io_.get_executor());
}

const asio::ip::tcp::endpoint& upstream_pool::endpoint_of(const grant& slot)
{
    auto& server = servers_[slot.server];
    if (server.address != slot.address || server.port != slot.port) {
        server.endpoint = {asio::ip::make_address(slot.address), slot.port};
        server.address = slot.address;
        server.port = slot.port;
        std::ranges::for_each(server.idle, [](auto& connection) { connection->stream.close(); });
        server.idle.clear();
    }
    return server.endpoint;
}

void upstream_pool::put_back(const server_key& server,
                             std::shared_ptr<upstream_connection> connection, local_time now)
{
    auto& of = servers_[server];
    if (of.idle.size() >= max_idle) {
        connection->set_input_handler({});
        connection->stream.close();
        return;
    }
    connection->last_answer = now;
    connection->parser.reset();
    connection->stream.release_memory();
    connection->set_input_handler([this, &of, raw = connection.get()] { drop(of, raw); });
    connection->watch();
    of.idle.push_back(std::move(connection));
}

void upstream_pool::drop(server_connections& of, const upstream_connection* connection)
{
    std::erase_if(of.idle, [connection](const auto& item) {
        if (item.get() != connection) {
            return false;
        }
        item->stream.close();
        return true;
    });
}

void upstream_pool::distrust_before(const server_key& server, local_time time)
{
    auto& of = servers_[server];
    of.distrusted_before = std::max(of.distrusted_before, time);
}

void upstream_pool::close_idle(local_time limit)
{
    for (auto& server : servers_ | std::views::values) {
        const auto oldest = std::max(limit, server.distrusted_before);
        std::erase_if(server.idle, [oldest](const auto& connection) {
            if (connection->last_answer >= oldest) {
                return false;
            }
            connection->stream.close();
            return true;
        });
    }
    std::erase_if(servers_, [limit](const auto& item) {
        return item.second.idle.empty() && item.second.distrusted_before < limit;
    });
}

void upstream_pool::clear()
{
    close_idle(local_time::max());
}

std::size_t upstream_pool::idle_count(const server_key& server) const
{
    const auto found = servers_.find(server);
    return found == servers_.end() ? 0 : found->second.idle.size();
}

} // namespace sniperock

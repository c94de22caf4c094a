/** @file edge_linger.cpp Holds the slot of an abandoned call until its server has let go of it. */
#include "edge_linger.hpp"

namespace sniperock {

void edge_linger::add(std::shared_ptr<upstream_connection> connection, held_slot slot,
                      const call_report& report, local_time until)
{
    const auto* key = connection.get();
    const auto reset_timer = timers_.add(boot_clock::now() + reset_after, [key, this] {
        const auto found = held_.find(key);
        if (found != held_.end()) {
            found->second.connection->stream.close();
        }
    });
    const auto deadline_timer = timers_.add(until, [key, this] { release(key); });
    connection->stream.shutdown_send();
    connection->set_input_handler([key, this] { on_input(key); });
    held_.emplace(key,
                  abandoned_call{connection, std::move(slot), report, reset_timer, deadline_timer});
    connection->watch();
}

void edge_linger::on_input(const upstream_connection* key)
{
    const auto found = held_.find(key);
    if (found == held_.end()) {
        return;
    }
    asio::error_code error;
    found->second.connection->stream.read(scratch_, error);
    if (error) {
        release(key);
        return;
    }
    found->second.connection->watch();
}

void edge_linger::release(const upstream_connection* key)
{
    auto node = held_.extract(key);
    if (node.empty()) {
        return;
    }
    auto& call = node.mapped();
    timers_.cancel(call.reset_timer);
    timers_.cancel(call.deadline_timer);
    call.connection->set_input_handler({});
    call.connection->stream.close();
    call.slot.finish(call.report);
}

void edge_linger::clear()
{
    while (!held_.empty()) {
        release(held_.begin()->first);
    }
}

} // namespace sniperock

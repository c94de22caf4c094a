/** @file member_gossip.hpp Exchanges heartbeats with other VMs over UDP. */
#pragma once

#include "async_func.hpp"
#include "member_table.hpp"
#include "store_revision_tracker.hpp"

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sniperock {

/** What one VM tells another. */
struct heartbeat {
    std::vector<member_entry> entries;
    /** The newest changes of the store that the sender has seen; zeros if it does not tell. */
    kind_revisions seen{};
};

/** A heartbeat as bytes. */
std::string encode_heartbeat(const heartbeat& beat);
/** A heartbeat from bytes; empty optional if the bytes are not a heartbeat. */
std::optional<heartbeat> decode_heartbeat(std::string_view bytes);

/**
 * Each period a VM sends what it knows to a few others at random, and to the seeds while it knows
 * nobody else. News of any VM so reaches all in a number of periods that grows with the logarithm
 * of the fleet's size, and the cost of a VM does not grow with it.
 */
class member_gossip {
public:
    /** @param seeds addresses to greet; they may be wrong or down. */
    member_gossip(asio::io_context& io, member_table& table, store_revision_tracker& news,
                  milliseconds period, random_engine& random);

    /** Opens the port. @throws listen_failed */
    void open(const std::string& address, std::uint16_t port);
    void set_seeds(std::vector<std::string> seeds) { seeds_ = std::move(seeds); }
    /** Adds an address to greet once. */
    void greet(const std::string& address);
    /** Tells every VM that is known at once; used when this VM begins to leave. */
    void broadcast_self();
    /** The two tasks of heartbeats; they end with the io context. */
    task<> send_heartbeats();
    task<> receive_heartbeats();

private:
    static constexpr std::size_t max_datagram = 65'536;

    void send_to(const std::string& address);

    member_table& table_;
    store_revision_tracker& news_;
    milliseconds period_;
    random_engine& random_;
    asio::ip::udp::socket socket_;
    std::vector<std::string> seeds_;
    std::uint16_t port_ = 0;
    std::string encoded_;
};

} // namespace sniperock

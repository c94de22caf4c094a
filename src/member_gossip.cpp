/** @file member_gossip.cpp Exchanges heartbeats with other VMs over UDP. */
#include "member_gossip.hpp"

#include "error_type.hpp"
#include "event_type.hpp"

#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <msgpack.hpp>

#include <algorithm>
#include <ranges>

namespace sniperock {
namespace {

/** VMs that receive a heartbeat each period; three spread a change to 100 VMs in five periods. */
constexpr std::size_t fanout = 3;
/** Maximum number of other VMs whose entries a heartbeat carries, so that it fits a few packets. */
constexpr std::size_t max_digest_entries = 40;
/** Version of the wire format; datagrams of other versions are dropped. */
constexpr unsigned format_version = 1;
/** With fewer VMs alive than this, heartbeats are also sent to the seeds each period. */
constexpr std::size_t seed_contact_threshold = 3;

using wire_entry = std::tuple<std::string, std::uint16_t, std::string, std::string, std::uint64_t,
                              std::uint64_t, std::uint8_t>;
/** Fields that every release sends; an earlier release sends and reads only these two. */
using wire_heartbeat = std::tuple<unsigned, std::vector<wire_entry>>;
using wire_revisions = std::array<std::uint64_t, std::tuple_size_v<kind_revisions>>;
/** Index in the message array of the sender's revisions, and of whether the store answers it. */
constexpr std::size_t revisions_index = 2;
constexpr std::size_t store_answers_index = 3;

/** Limits on a decoded heartbeat, so that lengths in corrupt bytes do not cause allocations. */
const msgpack::unpack_limit unpack_limits{
    /* array */ 1024, /* map */ 0, /* string */ 1024,
    /* bin */ 0,      /* ext */ 0, /* depth */ 4};

} // namespace

std::string encode_heartbeat(const heartbeat& message)
{
    std::vector<wire_entry> entries;
    std::ranges::transform(message.entries, std::back_inserter(entries),
                           [](const member_entry& entry) {
                               return wire_entry{entry.address,
                                                 entry.callers_port,
                                                 entry.name,
                                                 entry.failure_domain,
                                                 entry.incarnation_id.value,
                                                 entry.sequence,
                                                 static_cast<std::uint8_t>(entry.state)};
                           });
    wire_revisions revisions{};
    std::ranges::transform(message.revisions, revisions.begin(), &store_revision::value);
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, std::tuple{format_version, entries, revisions, message.store_answers});
    return {buffer.data(), buffer.size()};
}

std::optional<heartbeat> decode_heartbeat(std::string_view bytes)
{
    try {
        const auto handle =
            msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, unpack_limits);
        const auto& message = handle.get();
        const auto [version, wire] = message.as<wire_heartbeat>();
        if (version != format_version) {
            return std::nullopt;
        }
        heartbeat decoded;
        for (const auto& [address, port, name, domain, incarnation_id, sequence, state] : wire) {
            if (state > static_cast<std::uint8_t>(member_state::leaving)) {
                return std::nullopt;
            }
            decoded.entries.push_back({address,
                                       port,
                                       name,
                                       domain,
                                       {incarnation_id},
                                       sequence,
                                       static_cast<member_state>(state)});
        }
        if (message.via.array.size > revisions_index) {
            const auto revisions = message.via.array.ptr[revisions_index].as<wire_revisions>();
            std::ranges::transform(revisions, decoded.revisions.begin(),
                                   [](std::uint64_t value) { return store_revision{value}; });
        }
        if (message.via.array.size > store_answers_index) {
            decoded.store_answers = message.via.array.ptr[store_answers_index].as<bool>();
        }
        return decoded;
    }
    catch (const std::exception&) {
        // msgpack throws several exception types for malformed bytes; the caller logs the drop.
        return std::nullopt;
    }
}

member_gossip::member_gossip(asio::io_context& io, member_table& table,
                             store_revision_tracker& revisions, milliseconds period,
                             random_engine& random, gossip_callbacks callbacks)
    : table_(table), revisions_(revisions), period_(period), random_(random),
      callbacks_(std::move(callbacks)), socket_(io)
{
}

std::string member_gossip::encode(std::size_t max_entries, local_time now) const
{
    return encode_heartbeat({table_.digest(max_entries, now), revisions_.local_revisions(),
                             callbacks_.store_answers()});
}

void member_gossip::open(const std::string& address, std::uint16_t port)
{
    try {
        const asio::ip::udp::endpoint endpoint(asio::ip::make_address(address), port);
        socket_.open(endpoint.protocol());
        socket_.bind(endpoint);
        socket_.non_blocking(true);
        port_ = socket_.local_endpoint().port();
    }
    catch (const std::system_error& fault) {
        throw listen_failed(address + ":" + std::to_string(port) + "/udp", fault.code().message());
    }
}

void member_gossip::send_heartbeat_to(const std::string& address)
{
    if (address != table_.self().address) {
        encoded_ = encode(max_digest_entries, boot_clock::now());
        send_encoded(address);
    }
}

void member_gossip::broadcast_self()
{
    const auto now = boot_clock::now();
    table_.advance_heartbeat();
    encoded_ = encode(0, now);
    for (const auto& member : table_.alive(now)) {
        if (member.address != table_.self().address) {
            send_encoded(member.address);
        }
    }
}

/** Sends the encoded heartbeat; a datagram that cannot be sent is treated as lost. */
void member_gossip::send_encoded(const std::string& address)
{
    asio::error_code error;
    const auto target = asio::ip::make_address(address, error);
    if (!error) {
        socket_.send_to(asio::buffer(encoded_), {target, port_}, 0, error);
    }
    if (error && error != asio::error::would_block) {
        log_event(event::heartbeat_dropped, {{"peer", address}, {"reason", error.message()}});
    }
}

task<> member_gossip::send_heartbeats()
{
    for (;;) {
        const auto now = boot_clock::now();
        table_.advance_heartbeat();
        encoded_ = encode(max_digest_entries, now);
        for (const auto& address : table_.pick_targets(fanout, random_, now)) {
            send_encoded(address);
        }
        if (table_.alive(now).size() < seed_contact_threshold) {
            for (const auto& seed : seeds_) {
                if (seed != table_.self().address) {
                    send_encoded(seed);
                }
            }
        }
        std::uniform_real_distribution<double> jitter{0.8, 1.2};
        co_await sleep_for(
            std::chrono::duration_cast<nanoseconds>(std::chrono::duration<double, std::milli>(
                static_cast<double>(period_.count()) * jitter(random_))));
    }
}

task<> member_gossip::receive_heartbeats()
{
    std::vector<char> buffer(max_datagram);
    for (;;) {
        asio::error_code error;
        co_await socket_.async_wait(asio::ip::udp::socket::wait_read,
                                    asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted) {
            co_return;
        }
        asio::ip::udp::endpoint from;
        const auto size = socket_.receive_from(asio::buffer(buffer), from, 0, error);
        if (error) {
            continue;
        }
        const auto received = decode_heartbeat({buffer.data(), size});
        if (!received || received->entries.empty()) {
            log_event(event::heartbeat_dropped,
                      {{"peer", from.address().to_string()}, {"reason", "malformed"}});
            continue;
        }
        const auto now = boot_clock::now();
        revisions_.record_remote(received->revisions, now);
        if (!received->store_answers) {
            callbacks_.on_store_outage();
        }
        const bool has_new_member = table_.merge(received->entries, now);
        if (has_new_member) {
            // A new VM learns the fleet without waiting for the next period.
            send_heartbeat_to(from.address().to_string());
        }
    }
}

} // namespace sniperock

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

/** VMs that one heartbeat goes to each period; three spread news over 100 VMs in five periods. */
constexpr std::size_t fan_out = 3;
/** VMs whose entries one heartbeat carries, so that it fits a few packets. */
constexpr std::size_t digest_size = 40;
/** Version of the format; a datagram of another version is dropped. */
constexpr unsigned format_version = 1;
/** With fewer living VMs than this, seeds are greeted each period. */
constexpr std::size_t lonely_below = 3;

using wire_entry = std::tuple<std::string, std::uint16_t, std::string, std::string, std::uint64_t,
                              std::uint64_t, std::uint8_t>;
/** VMs of an earlier release send the first two fields, and read just these. */
using wire_heartbeat = std::tuple<unsigned, std::vector<wire_entry>>;
using wire_revisions = std::array<std::uint64_t, std::tuple_size_v<kind_revisions>>;
/** Place of the sender's revisions in the message. */
constexpr std::size_t revisions_at = 2;

/** What a heartbeat may hold; lengths in spoiled bytes must not make the library allocate. */
const msgpack::unpack_limit limits{/* array */ 1024, /* map */ 0, /* string */ 1024,
                                   /* bin */ 0,      /* ext */ 0, /* depth */ 4};

} // namespace

std::string encode_heartbeat(const heartbeat& beat)
{
    std::vector<wire_entry> entries;
    std::ranges::transform(beat.entries, std::back_inserter(entries),
                           [](const member_entry& entry) {
                               return wire_entry{entry.address,
                                                 entry.callers_port,
                                                 entry.name,
                                                 entry.failure_domain,
                                                 entry.life.value,
                                                 entry.beat,
                                                 static_cast<std::uint8_t>(entry.state)};
                           });
    wire_revisions revisions{};
    std::ranges::transform(beat.seen, revisions.begin(), &store_revision::value);
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, std::tuple{format_version, entries, revisions});
    return {buffer.data(), buffer.size()};
}

std::optional<heartbeat> decode_heartbeat(std::string_view bytes)
{
    try {
        const auto handle = msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, limits);
        const auto& message = handle.get();
        const auto [version, wire] = message.as<wire_heartbeat>();
        if (version != format_version) {
            return std::nullopt;
        }
        heartbeat beat;
        for (const auto& [address, port, name, domain, life, number, state] : wire) {
            if (state > static_cast<std::uint8_t>(member_state::leaving)) {
                return std::nullopt;
            }
            beat.entries.push_back(
                {address, port, name, domain, {life}, number, static_cast<member_state>(state)});
        }
        if (message.via.array.size > revisions_at) {
            const auto revisions = message.via.array.ptr[revisions_at].as<wire_revisions>();
            std::ranges::transform(revisions, beat.seen.begin(),
                                   [](std::uint64_t value) { return store_revision{value}; });
        }
        return beat;
    }
    catch (const std::exception&) {
        // msgpack tells malformed bytes by several types; the caller logs the drop.
        return std::nullopt;
    }
}

member_gossip::member_gossip(asio::io_context& io, member_table& table,
                             store_revision_tracker& news, milliseconds period,
                             random_engine& random)
    : table_(table), news_(news), period_(period), random_(random), socket_(io)
{
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

void member_gossip::greet(const std::string& address)
{
    if (address != table_.self().address) {
        encoded_ = encode_heartbeat({table_.digest(digest_size, boot_clock::now()), news_.seen()});
        send_to(address);
    }
}

void member_gossip::broadcast_self()
{
    const auto now = boot_clock::now();
    table_.beat();
    encoded_ = encode_heartbeat({table_.digest(0, now), news_.seen()});
    for (const auto& member : table_.alive(now)) {
        if (member.address != table_.self().address) {
            send_to(member.address);
        }
    }
}

/** Sends the encoded heartbeat; a datagram that cannot be sent counts as lost. */
void member_gossip::send_to(const std::string& address)
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
        table_.beat();
        encoded_ = encode_heartbeat({table_.digest(digest_size, now), news_.seen()});
        for (const auto& address : table_.pick_targets(fan_out, random_, now)) {
            send_to(address);
        }
        if (table_.alive(now).size() < lonely_below) {
            for (const auto& seed : seeds_) {
                if (seed != table_.self().address) {
                    send_to(seed);
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
        const auto beat = decode_heartbeat({buffer.data(), size});
        if (!beat || beat->entries.empty()) {
            log_event(event::heartbeat_dropped,
                      {{"peer", from.address().to_string()}, {"reason", "malformed"}});
            continue;
        }
        const auto now = boot_clock::now();
        news_.heard(beat->seen, now);
        const bool newcomer = table_.merge(beat->entries, now);
        if (newcomer) {
            // A newcomer learns the fleet at once.
            greet(from.address().to_string());
        }
    }
}

} // namespace sniperock

/** @file peer_link.hpp Authenticated one-way messages between entry vms, over nng. */
#pragma once

#include "enum_table.hpp"
#include "peer_keys.hpp"
#include "peer_type.hpp"

#include <array>
#include <memory>
#include <string>
#include <vector>

namespace sniperock {

/** Why a message was dropped. */
enum class peer_drop { malformed, unknown_key, wrong_tag, repeated, outdated, unknown_kind };

template <>
inline constexpr std::array enum_names<peer_drop>{
    enum_name<peer_drop>{peer_drop::malformed, "malformed"},
    enum_name<peer_drop>{peer_drop::unknown_key, "unknown_key"},
    enum_name<peer_drop>{peer_drop::wrong_tag, "wrong_tag"},
    enum_name<peer_drop>{peer_drop::repeated, "repeated"},
    enum_name<peer_drop>{peer_drop::outdated, "outdated"},
    enum_name<peer_drop>{peer_drop::unknown_kind, "unknown_kind"},
};

/** Counts of one link, for the pages. */
struct peer_link_counts {
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    /** Not authentic, malformed or repeated. */
    std::uint64_t dropped = 0;
    /** The dropped ones, by peer_drop. */
    std::array<std::uint64_t, enum_names<peer_drop>.size()> dropped_by_reason{};
};

/**
 * One listening pull socket for everything that comes in, and one push socket for each peer.
 * Push sockets resend nothing by themselves. All members may be called from any thread.
 */
class peer_link {
public:
    /**
     * @param self who sends.
     * @param keys shared secrets that authenticate messages.
     */
    peer_link(peer_identity self, peer_keys keys);
    ~peer_link();
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;

    /** Sets what is called for messages of @p kind; only before start(). */
    void subscribe(peer_message_kind kind, peer_handler handler);
    /** Listens and starts the receiving thread. @param port 0 takes a free one. @throws
     * listen_failed */
    void start(const std::string& address, int port);
    void stop();
    /** Replaces the keys; messages under the former ones are refused if the new ones lack them. */
    void set_keys(peer_keys keys);
    /** Replaces the peers that send() can reach. */
    void set_peers(const std::vector<peer_address>& peers);
    /** Sends without waiting. @return false if the peer is unknown or its queue is full. */
    bool send(const std::string& vm, peer_message_kind kind, const std::string& payload);
    [[nodiscard]] int port() const;
    [[nodiscard]] peer_link_counts counts() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace sniperock

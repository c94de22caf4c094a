/** @file call_relay.hpp Selects the VM that sends a request on for a VM that cannot. */
#pragma once

#include "http_type.hpp"
#include "member_reach.hpp"
#include "member_table.hpp"
#include "random_type.hpp"
#include "upstream_type.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace sniperock {

/** Header of a relayed request: number of upstreams that it may be sent to. It is understood on the
 * port for other VMs only. */
inline constexpr std::string_view relay_attempts_header = "X-Relay-Attempts";
/** Header of a relayed request: the sender has checked the caller's key and states the account, if
 * there is one, in a header that it has set itself. A header of this name concerns one connection
 * only, so that each release drops that of a caller. */
inline constexpr std::string_view relay_admitted_header = "Proxy-Authorization";
inline constexpr std::string_view relay_admitted_value = "Admitted";
/** Header of its answer: number of upstreams that it was sent to. */
inline constexpr std::string_view relay_sends_header = "X-Relay-Sends";
/** Header of its answer: the answer is the other VM's own, not that of an upstream. */
inline constexpr std::string_view relay_own_header = "X-Relay-Own";

/** Marks the answer to a relayed request as this VM's own. @param sends upstreams that the request
 * was sent to. */
inline void add_own_relay_headers(http_headers& headers, int sends)
{
    headers.add(std::string{relay_own_header}, "1");
    headers.add(std::string{relay_sends_header}, std::to_string(sends));
}

/**
 * The other VMs, as far as they can send requests on. Each is treated like an upstream: with kept
 * connections, and a backoff while it does not answer.
 */
class relay_peers {
public:
    relay_peers(const member_table& members, const member_reach& reach, random_engine& random)
        : members_(members), reach_(reach), random_(random)
    {
    }

    /** TCP port on which VMs take requests from each other; 0 if they do not. */
    void set_port(std::uint16_t port) { port_ = port; }
    /**
     * Selects a ready VM that has not reported that it cannot reach the service either: of two
     * random ones, the one that runs fewer requests for this VM.
     * @param tried ids of VMs that are excluded.
     * @return null if there is none.
     */
    upstream_ptr pick(std::string_view service, const std::set<std::string>& tried, local_time now);

    /** Calls @p visit(upstream&) for each VM that was selected before. */
    template <typename Visit>
    void for_each(Visit visit) const
    {
        for (const auto& [address, peer] : peers_) {
            visit(*peer);
        }
    }

private:
    upstream_ptr peer_at(const member_entry& member);

    const member_table& members_;
    const member_reach& reach_;
    random_engine& random_;
    std::uint16_t port_ = 0;
    /** By address. */
    std::map<std::string, upstream_ptr> peers_;
};

} // namespace sniperock

/** @file call_relay.cpp Selects the VM that sends a request on for a VM that cannot. */
#include "call_relay.hpp"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <vector>

namespace sniperock {
namespace {

/** Random VMs of which the less loaded one is selected. */
constexpr std::size_t compared = 2;

} // namespace

upstream_ptr relay_peers::pick(std::string_view service, const std::set<std::string>& tried,
                               local_time now)
{
    if (port_ == 0) {
        return nullptr;
    }
    const auto alive = members_.alive(now);
    std::erase_if(peers_, [&](const auto& item) {
        return item.second->in_flight == 0 &&
               std::ranges::find(alive, item.first, &member_entry::address) == alive.end();
    });
    std::vector<upstream_ptr> eligible;
    for (const auto& member : alive) {
        if (member.address == members_.self().address || member.state != member_state::ready ||
            reach_.unreachable(member.address, service, now)) {
            continue;
        }
        auto peer = peer_at(member);
        if (!tried.contains(peer->entry.id) && !peer->failures.in_backoff(now)) {
            eligible.push_back(std::move(peer));
        }
    }
    std::vector<upstream_ptr> sampled;
    std::ranges::sample(eligible, std::back_inserter(sampled), compared, random_);
    // A sample keeps its order, and equally loaded VMs have to be selected equally often.
    std::ranges::shuffle(sampled, random_);
    const auto best = std::ranges::min_element(
        sampled, {}, [](const upstream_ptr& item) { return item->in_flight; });
    return best == sampled.end() ? nullptr : *best;
}

upstream_ptr relay_peers::peer_at(const member_entry& member)
{
    auto& peer = peers_[member.address];
    if (!peer) {
        peer = std::make_shared<upstream>();
        peer->entry.id = "vm:" + member.name;
        peer->entry.failure_domain = member.failure_domain;
        asio::error_code error;
        peer->entry.endpoint = {asio::ip::make_address(member.address, error), port_};
    }
    return peer;
}

} // namespace sniperock

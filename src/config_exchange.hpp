/** @file config_exchange.hpp Spreads the configuration between entry vms by offers. */
#pragma once

#include "clock_type.hpp"
#include "config_head_func.hpp"
#include "config_keeper.hpp"
#include "config_peer_type.hpp"
#include "event_type.hpp"
#include "finding_type.hpp"
#include "peer_codec.hpp"
#include "peer_type.hpp"

#include <algorithm>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace sniperock {

/** Answers a request out of a state. */
config_parts_message answer_request(const config_state& state,
                                    const config_request_message& request);
/** How many of @p others come before @p self in the order of rendezvous hashes for @p topic. */
std::size_t rendezvous_rank(const std::string& self, const std::vector<std::string>& others,
                            const std::string& topic);

/** What another vm said last. */
struct peer_position {
    std::string vm;
    config_position position;
    bool store_answers = false;
    /** When it was heard. */
    local_time heard{};
};

/** Periods and bounds of the exchange. */
struct exchange_limits {
    /** Time between two offers to the same few peers. */
    milliseconds offer_period{1'000};
    /** Most peers that get an offer in one period. */
    std::size_t fanout = 16;
    /** A peer that was not heard for this long does not count as live. */
    milliseconds live_time{3'000};
    /** A request without an answer may be repeated after this time. */
    milliseconds request_timeout{500};
};

/**
 * Tells other vms what this one has in force, at a change and once a period, and fetches from
 * them what it lacks. Members may be called from any thread.
 */
template <peer_sender Sender, clock_source Clock>
class config_exchange {
public:
    config_exchange(std::string self, Sender& sender, const Clock& clock, config_keeper& keeper,
                    exchange_limits limits = {})
        : self_(std::move(self)), sender_(sender), clock_(clock), keeper_(keeper), limits_(limits)
    {
    }

    /** Sets the other vms. */
    void set_peers(std::vector<std::string> peers)
    {
        const std::lock_guard lock(mutex_);
        std::erase(peers, self_);
        peers_ = std::move(peers);
        std::erase_if(positions_, [&](const auto& item) {
            return std::ranges::find(peers_, item.first) == peers_.end() && !is_live(item.second);
        });
    }

    /** Notes whether the store answered this vm's last call. */
    void set_store_answers(bool answers)
    {
        const std::lock_guard lock(mutex_);
        store_answers_ = answers;
    }

    /** Offers to every peer at once; for changes that this vm accepted or read from the store. */
    void announce() { offer_to(peers()); }

    /** Sends the offers that are due. */
    void tick()
    {
        std::vector<std::string> chosen;
        {
            const std::lock_guard lock(mutex_);
            if (clock_.now() - last_offer_ < limits_.offer_period) {
                return;
            }
            last_offer_ = clock_.now();
            chosen = next_peers();
        }
        offer_to(chosen);
    }

    /** Handles a message of the kinds config_offer, config_request and config_parts. */
    void handle(const peer_message& message)
    {
        if (message.kind == peer_message_kind::config_offer) {
            handle_as<config_offer_message>(message,
                                            [&](auto& body) { take_offer(message, body); });
        }
        else if (message.kind == peer_message_kind::config_request) {
            handle_as<config_request_message>(message, [&](auto& body) {
                const auto answer = answer_request(*keeper_.state(), body);
                send(message.from.vm, peer_message_kind::config_parts, answer);
            });
        }
        else {
            handle_as<config_parts_message>(message,
                                            [&](auto& body) { take_parts(message, body); });
        }
    }

    /** What other vms said last. */
    std::vector<peer_position> positions() const
    {
        const std::lock_guard lock(mutex_);
        std::vector<peer_position> result;
        std::ranges::transform(positions_, std::back_inserter(result),
                               [](const auto& item) { return item.second; });
        return result;
    }

    /**
     * This vm's place among the live vms that reach the store, by rendezvous hash; if none does,
     * among all live vms.
     */
    std::size_t store_rank(const std::string& topic) const
    {
        const std::lock_guard lock(mutex_);
        std::vector<std::string> live;
        std::vector<std::string> answered;
        for (const auto& [vm, peer] : positions_) {
            if (is_live(peer)) {
                live.push_back(vm);
                if (peer.store_answers) {
                    answered.push_back(vm);
                }
            }
        }
        const bool any = store_answers_ || !answered.empty();
        return rendezvous_rank(self_, any ? answered : live, topic);
    }

    /** True if any other vm was heard lately. */
    bool has_live_peer() const
    {
        const std::lock_guard lock(mutex_);
        return std::ranges::any_of(positions_,
                                   [&](const auto& item) { return is_live(item.second); });
    }

    /** True if @p peer was heard lately. */
    bool is_live(const peer_position& peer) const
    {
        return clock_.now() - peer.heard < limits_.live_time;
    }

private:
    template <typename Body, typename Work>
    void handle_as(const peer_message& message, const Work& work)
    {
        auto body = decode_payload<Body>(message.payload);
        if (body) {
            work(*body);
            return;
        }
        log_event(event::peer_message_dropped,
                  {{"from", message.from.vm}, {"kind", std::string{to_name(message.kind)}}});
    }

    template <typename Body>
    void send(const std::string& vm, peer_message_kind kind, const Body& body)
    {
        sender_.send(vm, kind, encode_payload(body));
    }

    std::vector<std::string> peers() const
    {
        const std::lock_guard lock(mutex_);
        return peers_;
    }

    /** The next peers in turn; the caller holds the mutex. */
    std::vector<std::string> next_peers()
    {
        const auto count = std::min(limits_.fanout, peers_.size());
        std::vector<std::string> chosen;
        for (std::size_t at = 0; at < count; ++at) {
            chosen.push_back(peers_[(turn_ + at) % peers_.size()]);
        }
        turn_ += count;
        return chosen;
    }

    void offer_to(const std::vector<std::string>& vms)
    {
        config_offer_message offer;
        offer.revision = keeper_.state()->head.revision.value;
        offer.unrecorded = to_wire(keeper_.unrecorded());
        {
            const std::lock_guard lock(mutex_);
            offer.store_answers = store_answers_;
        }
        const auto payload = encode_payload(offer);
        for (const auto& vm : vms) {
            sender_.send(vm, peer_message_kind::config_offer, payload);
        }
    }

    /** Offers to the peers in turn and to the one that a change came from. */
    void pass_on(const std::string& source)
    {
        std::vector<std::string> chosen;
        {
            const std::lock_guard lock(mutex_);
            chosen = next_peers();
        }
        if (std::ranges::find(chosen, source) == chosen.end()) {
            chosen.push_back(source);
        }
        offer_to(chosen);
    }

    void take_offer(const peer_message& message, const config_offer_message& offer)
    {
        const auto changes = from_wire(offer.unrecorded);
        note_position(message, offer, changes);
        if (keeper_.add_unrecorded(changes)) {
            pass_on(message.from.vm);
        }
        const auto own = keeper_.state()->head.revision.value;
        if (offer.revision > own) {
            request_once(message.from.vm, offer.revision, own);
        }
        else if (offer.revision < own) {
            offer_to({message.from.vm});
        }
    }

    void note_position(const peer_message& message, const config_offer_message& offer,
                       const unrecorded_changes& changes)
    {
        peer_position peer{
            message.from.vm, {{offer.revision}, {}}, offer.store_answers, clock_.now()};
        std::ranges::transform(changes, std::back_inserter(peer.position.unrecorded),
                               &unrecorded_change::id);
        const std::lock_guard lock(mutex_);
        positions_[peer.vm] = std::move(peer);
    }

    /** Asks for a revision unless an answer about it is still awaited. */
    void request_once(const std::string& vm, std::uint64_t revision, std::uint64_t own)
    {
        {
            const std::lock_guard lock(mutex_);
            const bool awaited =
                requested_ >= revision && clock_.now() - requested_at_ < limits_.request_timeout;
            if (awaited) {
                return;
            }
            requested_ = revision;
            requested_at_ = clock_.now();
        }
        send(vm, peer_message_kind::config_request, config_request_message{own, false, {}});
    }

    void take_parts(const peer_message& message, const config_parts_message& answer)
    {
        const auto known = keeper_.state();
        if (answer.base != 0 && answer.base != known->head.revision.value) {
            return;
        }
        try {
            auto head = parse_head(answer.head, message.from.vm);
            if (answer.base != 0) {
                head = apply_delta(known->head, head);
            }
            if (parts_digest(head) != answer.digest) {
                ask_again(message.from.vm, {known->head.revision.value, true, {}});
                return;
            }
            take_head(message.from.vm, std::move(head), known, answer.parts);
        }
        catch (const invalid_input& fault) {
            log_event(event::config_refused,
                      {{"from", message.from.vm}, {"findings", fault.what()}});
        }
    }

    void take_head(const std::string& from, config_head head,
                   const std::shared_ptr<const config_state>& known,
                   const std::vector<part_wire>& parts)
    {
        if (head.revision <= known->head.revision) {
            return;
        }
        part_texts staged;
        {
            const std::lock_guard lock(mutex_);
            for (const auto& part : parts) {
                staged_[part.name] = std::make_shared<const std::string>(part.text);
            }
            staged = staged_;
        }
        const auto missing = missing_parts(head, *known, staged);
        if (!missing.empty()) {
            ask_again(from, {known->head.revision.value, false, missing});
            return;
        }
        keeper_.apply(make_state(std::move(head), *known, staged));
        {
            const std::lock_guard lock(mutex_);
            staged_.clear();
        }
        pass_on(from);
    }

    void ask_again(const std::string& vm, const config_request_message& request)
    {
        {
            const std::lock_guard lock(mutex_);
            requested_at_ = clock_.now();
        }
        send(vm, peer_message_kind::config_request, request);
    }

    std::string self_;
    Sender& sender_;
    const Clock& clock_;
    config_keeper& keeper_;
    exchange_limits limits_;
    mutable std::mutex mutex_;
    std::vector<std::string> peers_;
    std::map<std::string, peer_position> positions_;
    std::size_t turn_ = 0;
    local_time last_offer_{};
    std::uint64_t requested_ = 0;
    local_time requested_at_{};
    bool store_answers_ = true;
    /** Contents received for a head that is not complete yet. */
    part_texts staged_;
};

} // namespace sniperock

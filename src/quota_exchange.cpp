/** @file quota_exchange.cpp Gets tokens for requests from the VMs that hold an account's quota. */
#include "quota_exchange.hpp"

#include <algorithm>
#include <utility>

namespace sniperock {
namespace {

/** After so many holders without a token in a row the account is regarded as over its quota. With
 * four, 0.4% of the requests of accounts below their quotas were refused, with eight 0.08%. */
constexpr std::size_t max_denials = 8;
/** An ask is given up after this multiple of the usual time, within these bounds. */
constexpr int ask_limit_factor = 4;
constexpr milliseconds min_ask_limit{20};
constexpr milliseconds max_ask_limit{80};
/** Usual time until an answer, before one has arrived, and the weight of a new one. */
constexpr milliseconds first_answer_time{10};
constexpr double answer_time_weight = 0.1;
/** A holder that did not answer is passed over for this time at first, and doubled each time. */
constexpr milliseconds min_silence_time{250};
constexpr milliseconds max_silence_time{4000};
/** A holder without tokens is passed over until it expects one, within these bounds. */
constexpr milliseconds min_empty_time{20};
constexpr milliseconds max_empty_time{2000};
/** Requests of an account for which no holder has a token are refused at once for this time at
 * first, and doubled until one has: each of them saves its asks. */
constexpr milliseconds min_exhausted_time{20};
constexpr milliseconds max_exhausted_time{500};
/** Holders that are asked at the same time: a holder has but a few tokens. */
constexpr std::size_t max_open_asks = 4;
/** A VM that does not know yet whether it holds a part is passed over for this time. After some of
 * them in a row the account asks nobody for a time: all VMs may have started together, and each
 * would ask all others. */
constexpr milliseconds unsettled_time{200};
constexpr std::size_t max_unsettled_answers = 3;
constexpr milliseconds unsettled_pause{100};
/** After such an answer it is unknown for this time who holds the quota: others settle later, and
 * the requests that have waited for that are more than their tokens at first. */
constexpr milliseconds unsettled_memory{1000};
/** Requests that wait although nobody is asked are looked at again after this time. */
constexpr milliseconds wake_interval{50};
/** Requests that may wait, a few KiB each, and tokens that one answer grants. */
constexpr std::size_t max_waiting = 1000;
constexpr std::size_t max_granted = 64;
/** What was admitted and refused within this time tells when a caller would be admitted. */
constexpr seconds pace_window{1};
/** Bounds of the time after which a refused caller is asked to come back. */
constexpr milliseconds min_retry_delay{50};
constexpr milliseconds max_retry_delay{5000};

} // namespace

quota_exchange::account_state::account_state() : admitted(pace_window), refused(pace_window) {}

quota_exchange::quota_exchange(quota_keeper& keeper, quota_transport transport,
                               random_engine& random, std::uint64_t first_id)
    : keeper_(keeper), transport_(std::move(transport)), random_(random), next_id_(first_id),
      answer_time_(first_answer_time)
{
}

void quota_exchange::set_peers(const std::vector<quota_peer>& peers)
{
    peers_.clear();
    for (const auto& peer : peers) {
        peers_.emplace(peer.name, peer);
    }
    std::erase_if(silent_, [this](const auto& item) { return !peers_.contains(item.first); });
    std::erase_if(accounts_, [this](const auto& item) {
        return !keeper_.is_limited(item.first) && item.second.waiting.empty();
    });
}

void quota_exchange::note_common_start(local_time now)
{
    unsettled_until_ = now + unsettled_memory;
}

std::uint64_t quota_exchange::admit(quota_subject account, local_time now, local_time latest,
                                    handler done)
{
    if (!keeper_.is_limited(account)) {
        done({true, false, milliseconds{0}});
        return 0;
    }
    auto& state = accounts_[account];
    if (keeper_.take(account, 1, now).tokens > 0) {
        state.admitted.add(now);
        done({true, true, milliseconds{0}});
        return 0;
    }
    if (now < state.exhausted_until || waiting_ >= max_waiting) {
        refuse(state, done, now);
        return 0;
    }
    const auto number = ++last_request_;
    state.waiting.push_back({number, std::move(done), now + max_quota_wait, latest});
    ++waiting_;
    ask_holders(account, state, now);
    return number;
}

void quota_exchange::cancel(quota_subject account, std::uint64_t request)
{
    const auto found = accounts_.find(account);
    if (found != accounts_.end()) {
        waiting_ -= std::erase_if(found->second.waiting, [request](const waiting_request& item) {
            return item.number == request;
        });
    }
}

void quota_exchange::receive_ask(const quota_ask& ask, const std::string& sender, local_time now)
{
    const auto wanted = std::min<std::size_t>(ask.tokens, max_granted);
    const auto grant = keeper_.take(ask.account, wanted, now);
    transport_.send_answer(
        {ask.id, ask.account, static_cast<std::uint32_t>(grant.tokens), grant.next_in}, sender);
}

void quota_exchange::receive_answer(const quota_answer& answer, const std::string& sender,
                                    local_time now)
{
    const auto found = accounts_.find(answer.account);
    if (found == accounts_.end()) {
        return;
    }
    auto& state = found->second;
    const auto ask = close_ask(state, answer.id);
    if (!ask || ask->address != sender) {
        return;
    }
    silent_.erase(ask->holder);
    const std::chrono::duration<double, std::nano> difference = now - ask->sent_at - answer_time_;
    answer_time_ += std::chrono::duration_cast<nanoseconds>(difference * answer_time_weight);
    note_answer(state, *ask, answer, now);
    admit_waiting(state, answer.tokens, false, now);
    ask_holders(answer.account, state, now);
}

/** Notes when the holder can be asked again, and whether the account is over its quota. */
void quota_exchange::note_answer(account_state& state, const open_ask& ask,
                                 const quota_answer& answer, local_time now)
{
    std::erase_if(state.empty, [now](const auto& item) { return item.second <= now; });
    const bool holds_none = answer.next_in >= keeper_.bounds().window;
    if (answer.tokens == 0 && (answer.next_in <= milliseconds{0} || holds_none)) {
        // It has started just now, or knows other VMs than this one, which tells nothing about the
        // account.
        state.empty[ask.holder] = now + (holds_none ? max_empty_time : unsettled_time);
        unsettled_until_ = now + unsettled_memory;
        if (++state.unsettled_answers >= max_unsettled_answers) {
            state.paused_until = now + unsettled_pause;
        }
        return;
    }
    state.unsettled_answers = 0;
    if (answer.next_in > milliseconds{0}) {
        state.empty[ask.holder] = now + std::clamp(answer.next_in, min_empty_time, max_empty_time);
    }
    if (answer.tokens == 0) {
        ++state.denials;
    }
    else {
        state.denials = 0;
        state.exhausted_for = nanoseconds{0};
    }
}

/** Removes an ask that was answered or given up; empty if it was before. */
std::optional<quota_exchange::open_ask> quota_exchange::close_ask(account_state& state,
                                                                  std::uint64_t id)
{
    const auto found = std::ranges::find(state.asks, id, &open_ask::id);
    if (found == state.asks.end()) {
        return std::nullopt;
    }
    auto ask = std::move(*found);
    state.asks.erase(found);
    return ask;
}

/** Gives requests that wait up to the time at which they are refused: longer while it is not known
 * who holds the quota, and from then on as long as any other. */
void quota_exchange::refuse_expired(account_state& state, local_time now)
{
    if (holders_unknown(now)) {
        for (auto& request : state.waiting) {
            const auto later = std::min(request.latest, now + max_quota_wait);
            request.give_up_at = std::max(request.give_up_at, later);
        }
    }
    std::vector<waiting_request> expired;
    std::erase_if(state.waiting, [&](waiting_request& request) {
        if (request.give_up_at > now) {
            return false;
        }
        expired.push_back(std::move(request));
        return true;
    });
    waiting_ -= expired.size();
    for (const auto& request : expired) {
        refuse(state, request.done, now);
    }
}

/** It is not known yet who holds quotas: this VM, or one that it has asked, has just
 * started. */
bool quota_exchange::holders_unknown(local_time now) const
{
    return !keeper_.settled() || now < unsettled_until_;
}

/** This VM may have come to hold a part while requests wait. */
void quota_exchange::take_own(quota_subject account, account_state& state, local_time now)
{
    if (!state.waiting.empty()) {
        const auto own = keeper_.take(account, state.waiting.size(), now).tokens;
        admit_waiting(state, own, true, now);
    }
}

void quota_exchange::wake_later(quota_subject account, account_state& state)
{
    if (std::exchange(state.wake_pending, true)) {
        return;
    }
    transport_.after(wake_interval, [this, account](local_time now) {
        const auto found = accounts_.find(account);
        if (found != accounts_.end()) {
            found->second.wake_pending = false;
            take_own(account, found->second, now);
            ask_holders(account, found->second, now);
        }
    });
}

/** Asks holders for the requests that wait, or refuses these if no holder is left to ask. */
void quota_exchange::ask_holders(quota_subject account, account_state& state, local_time now)
{
    refuse_expired(state, now);
    std::size_t asked = 0;
    for (const auto& ask : state.asks) {
        asked += ask.tokens;
    }
    while (asked < state.waiting.size() && state.asks.size() < max_open_asks &&
           state.denials < max_denials && now >= state.paused_until) {
        const auto tokens =
            std::min(state.waiting.size() - asked, keeper_.part_capacity(account, now));
        if (!ask_one(account, state, tokens, now)) {
            break;
        }
        asked += tokens;
    }
    if (!state.asks.empty() || state.waiting.empty()) {
        return;
    }
    const bool many_start = now < unsettled_until_;
    if (!many_start && (keeper_.settled() || state.denials >= max_denials)) {
        refuse_waiting(state, now);
        return;
    }
    if (state.denials >= max_denials) {
        // Requests of some seconds have come together; the holders' parts fill meanwhile.
        state.denials = 0;
        state.paused_until = now + unsettled_pause;
    }
    wake_later(account, state);
}

/** Asks one holder. @return false if there is none to ask. */
bool quota_exchange::ask_one(quota_subject account, account_state& state, std::size_t tokens,
                             local_time now)
{
    const auto* holder = pick_holder(account, state, now);
    if (holder == nullptr) {
        return false;
    }
    const auto id = next_id_++;
    const auto wanted = static_cast<std::uint32_t>(tokens);
    state.asks.push_back({id, holder->name, holder->address, wanted, now});
    ++counts_.asks;
    transport_.send_ask({id, account, wanted}, holder->address);
    transport_.after(ask_limit(),
                     [this, account, id](local_time later) { expire_ask(account, id, later); });
    return true;
}

/** Gives up an ask that was not answered in time. */
void quota_exchange::expire_ask(quota_subject account, std::uint64_t id, local_time now)
{
    const auto found = accounts_.find(account);
    if (found == accounts_.end()) {
        return;
    }
    const auto ask = close_ask(found->second, id);
    if (!ask) {
        return;
    }
    ++counts_.silent_asks;
    auto& silent = silent_[ask->holder];
    silent.length = std::clamp<nanoseconds>(silent.length * 2, min_silence_time, max_silence_time);
    silent.until = now + silent.length;
    ask_holders(account, found->second, now);
}

void quota_exchange::admit_waiting(account_state& state, std::size_t tokens, bool own_tokens,
                                   local_time now)
{
    for (; tokens > 0 && !state.waiting.empty(); --tokens) {
        const auto request = std::move(state.waiting.front());
        state.waiting.pop_front();
        --waiting_;
        state.admitted.add(now);
        request.done({true, own_tokens, milliseconds{0}});
    }
}

/** No holder has a token: refuses what waits, and what comes until one expects a token. */
void quota_exchange::refuse_waiting(account_state& state, local_time now)
{
    state.exhausted_for =
        std::clamp<nanoseconds>(state.exhausted_for * 2, min_exhausted_time, max_exhausted_time);
    state.exhausted_until = now + state.exhausted_for;
    state.denials = 0;
    waiting_ -= state.waiting.size();
    for (const auto& request : std::exchange(state.waiting, {})) {
        refuse(state, request.done, now);
    }
}

void quota_exchange::refuse(account_state& state, const handler& done, local_time now)
{
    ++counts_.refused;
    state.refused.add(now);
    done({false, false, retry_delay(state, now)});
}

/** A holder that is alive and may have a token: one in this failure domain if there is one, and one
 * that lately did not answer only if there is no other. */
const quota_peer* quota_exchange::pick_holder(quota_subject account, const account_state& state,
                                              local_time now)
{
    struct candidate {
        const quota_peer* peer;
        bool silent;
    };
    std::vector<candidate> candidates;
    const auto* holders = keeper_.holders(account, now);
    if (holders == nullptr) {
        return nullptr;
    }
    for (const auto& name : *holders) {
        const auto peer = peers_.find(name);
        const auto empty = state.empty.find(name);
        const bool has_none =
            (empty != state.empty.end() && empty->second > now) ||
            std::ranges::find(state.asks, name, &open_ask::holder) != state.asks.end();
        if (peer != peers_.end() && !has_none) {
            const auto silent = silent_.find(name);
            candidates.push_back(
                {&peer->second, silent != silent_.end() && silent->second.until > now});
        }
    }
    if (candidates.empty()) {
        return nullptr;
    }
    std::ranges::shuffle(candidates, random_);
    const auto best = std::ranges::min_element(candidates, {}, [](const candidate& item) {
        return std::pair{item.silent, !item.peer->near};
    });
    return best->peer;
}

/** The requests refused lately come back as well: a caller is admitted once what this VM admits has
 * served them. Callers refused at the same time get different delays. */
milliseconds quota_exchange::retry_delay(account_state& state, local_time now)
{
    const auto ahead = static_cast<double>(state.refused.count(now));
    const auto pace = std::max(static_cast<double>(state.admitted.count(now)), 1.0);
    const std::chrono::duration<double, std::milli> queue = pace_window * (ahead / pace);
    std::uniform_real_distribution<double> spread{1, 2};
    return std::clamp(to_stated_time(queue.count() / 2 * spread(random_)), min_retry_delay,
                      max_retry_delay);
}

nanoseconds quota_exchange::ask_limit() const
{
    return std::clamp<nanoseconds>(answer_time_ * ask_limit_factor, min_ask_limit, max_ask_limit);
}

} // namespace sniperock

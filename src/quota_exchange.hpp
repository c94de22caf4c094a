/** @file quota_exchange.hpp Gets tokens for requests from the VMs that hold an account's quota. */
#pragma once

#include "quota_keeper.hpp"
#include "random_type.hpp"
#include "sliding_count.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sniperock {

/** Asks a holder for tokens. */
struct quota_ask {
    /** Number of the ask at its sender; the answer repeats it. */
    std::uint64_t id = 0;
    quota_subject account;
    std::uint32_t tokens = 0;
};

/** Answer of a holder, or of a VM that holds nothing. */
struct quota_answer {
    std::uint64_t id = 0;
    quota_subject account;
    std::uint32_t tokens = 0;
    /** Time until the holder has another token. */
    milliseconds next_in{0};
};

/** Another VM that is alive. */
struct quota_peer {
    std::string name;
    std::string address;
    /** In this VM's failure domain. */
    bool near = false;
};

/** What the exchange needs of the rest of the process. */
struct quota_transport {
    std::function<void(const quota_ask&, const std::string& to)> send_ask;
    std::function<void(const quota_answer&, const std::string& to)> send_answer;
    /** Calls a handler later. */
    std::function<void(nanoseconds delay, std::function<void(local_time now)>)> after;
};

/** Whether a request may be sent. */
struct quota_verdict {
    bool admitted = false;
    /** The token was this VM's own, and can be put back. */
    bool own_token = false;
    /** When a refused caller is expected to be admitted; bounded. */
    milliseconds retry_after{0};
};

/** Counts since the start of the process. */
struct quota_counts {
    std::uint64_t asks = 0;
    std::uint64_t silent_asks = 0;
    std::uint64_t refused = 0;
};

/**
 * Admits requests with tokens of this VM's own part, else with those of another holder. The
 * requests of an account that wait at the same time share one ask. A holder without tokens, or one
 * that does not answer, is passed over for a time; once several had none, the account's requests
 * are refused at once until one of them expects a token. What is granted in an answer that is lost,
 * or late, is lost: it is never granted twice.
 */
class quota_exchange {
public:
    using handler = std::function<void(const quota_verdict&)>;

    /** @param first_id number of the first ask; differs between runs of the process. */
    quota_exchange(quota_keeper& keeper, quota_transport transport, random_engine& random,
                   std::uint64_t first_id);

    /** @param peers other VMs that are alive. */
    void set_peers(const std::vector<quota_peer>& peers);
    /** All VMs have just started: for a time, requests wait rather than being refused. */
    void note_common_start(local_time now);
    /** Calls @p done once it is known whether a request may be sent: at once, or within
     * max_quota_wait; until @p latest while it is not known yet who holds the quota, as after the
     * loss of all VMs. @return number of the request if it waits. */
    std::uint64_t admit(quota_subject account, local_time now, local_time latest, handler done);
    /** The caller of a request that waits has left: it takes no token, and @p done is not called.
     */
    void cancel(quota_subject account, std::uint64_t request);
    /** Puts back a token of this VM's own whose request was sent nowhere. */
    void give_back(quota_subject account, local_time now) { keeper_.give_back(account, now); }
    void receive_ask(const quota_ask& ask, const std::string& sender, local_time now);
    void receive_answer(const quota_answer& answer, const std::string& sender, local_time now);

    [[nodiscard]] const quota_counts& counts() const { return counts_; }

private:
    struct waiting_request {
        std::uint64_t number = 0;
        handler done;
        local_time give_up_at;
        local_time latest;
    };
    struct open_ask {
        std::uint64_t id = 0;
        std::string holder;
        std::string address;
        std::uint32_t tokens = 0;
        local_time sent_at;
    };
    struct account_state {
        account_state();

        std::deque<waiting_request> waiting;
        std::vector<open_ask> asks;
        /** Holders without a token, and until when. */
        std::map<std::string, local_time, std::less<>> empty;
        /** Holders that had no token since one last had. */
        std::size_t denials = 0;
        /** VMs in a row that did not know yet whether they hold a part. */
        std::size_t unsettled_answers = 0;
        /** No holder is asked before. */
        local_time paused_until;
        /** The waiting requests are looked at again later. */
        bool wake_pending = false;
        /** Requests are refused at once until then, for so long since no holder has a token. */
        local_time exhausted_until;
        nanoseconds exhausted_for{0};
        sliding_count admitted;
        sliding_count refused;
    };
    struct silence {
        local_time until;
        nanoseconds length{0};
    };

    void ask_holders(quota_subject account, account_state& state, local_time now);
    void refuse_expired(account_state& state, local_time now);
    void take_own(quota_subject account, account_state& state, local_time now);
    void wake_later(quota_subject account, account_state& state);
    [[nodiscard]] bool holders_unknown(local_time now) const;
    bool ask_one(quota_subject account, account_state& state, std::size_t tokens, local_time now);
    std::optional<open_ask> close_ask(account_state& state, std::uint64_t id);
    void expire_ask(quota_subject account, std::uint64_t id, local_time now);
    void note_answer(account_state& state, const open_ask& ask, const quota_answer& answer,
                     local_time now);
    void admit_waiting(account_state& state, std::size_t tokens, bool own_tokens, local_time now);
    void refuse_waiting(account_state& state, local_time now);
    void refuse(account_state& state, const handler& done, local_time now);
    const quota_peer* pick_holder(quota_subject account, const account_state& state,
                                  local_time now);
    milliseconds retry_delay(account_state& state, local_time now);
    [[nodiscard]] nanoseconds ask_limit() const;

    quota_keeper& keeper_;
    quota_transport transport_;
    random_engine& random_;
    std::uint64_t next_id_;
    std::uint64_t last_request_ = 0;
    /** Until then it is taken as unknown who holds quotas, as another VM did not know it lately. */
    local_time unsettled_until_;
    /** Requests that wait, over all accounts. */
    std::size_t waiting_ = 0;
    std::map<std::string, quota_peer, std::less<>> peers_;
    std::map<std::string, silence, std::less<>> silent_;
    std::map<quota_subject, account_state> accounts_;
    /** Smoothed time between an ask and its answer. */
    nanoseconds answer_time_;
    quota_counts counts_;
};

/** Longest wait for a verdict of the holders: a small part of what callers wait for an answer. */
inline constexpr milliseconds max_quota_wait{200};

} // namespace sniperock

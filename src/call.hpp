/** @file call.hpp One request of a caller, from route lookup to answer. */
#pragma once

#include "call_attempt.hpp"
#include "call_context.hpp"
#include "call_picker.hpp"
#include "caller_exchange.hpp"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sniperock {

/** Controls the attempts, repeats and the answer of one request. */
class call : public std::enable_shared_from_this<call> {
public:
    call(call_context& context, exchange_ptr exchange, call_origin origin = call_origin::caller);

    /** Processes the request until it is answered. */
    static task<> run(std::shared_ptr<call> self);

private:
    task<> process();
    void identify_account();
    [[nodiscard]] bool has_accounts() const;
    [[nodiscard]] request_urgency urgency() const;
    [[nodiscard]] std::uint64_t body_bytes() const;
    bool find_route();
    bool check_account();
    task<bool> pass_quota();
    void read_deadline();
    task<> try_upstreams();
    task<bool> start_attempt(bool may_wait);
    void put_back(pick_result& result);
    bool passes_quarantine();
    bool start_relay();
    void start(picked_upstream picked, attempt_route by);
    [[nodiscard]] bool may_relay() const;
    [[nodiscard]] bool none_answered() const;
    [[nodiscard]] int max_sends() const;
    [[nodiscard]] version_choice choose_versions() const;
    task<> await_attempts();
    local_time check_silence(local_time now);
    std::shared_ptr<call_attempt> pop_ended_attempt();
    void handle_attempt_end(call_attempt& attempt);
    repeat_verdict judge_repeat();
    task<> hedge();
    void forward_answer(call_attempt& attempt);
    void refuse(call_end end);
    void end_unanswered();
    void finish(call_end end, int status);
    void abandon();
    void end_for_exit();
    [[nodiscard]] nanoseconds time_left() const { return deadline_ - boot_clock::now(); }

    call_context& context_;
    exchange_ptr exchange_;
    call_origin origin_;
    /** Keeps route_ valid when a newer configuration is applied. */
    std::shared_ptr<const route_table> table_;
    const route* route_ = nullptr;
    /** The client account; null if the request has none, or one that table_ does not name. */
    const account_config* account_ = nullptr;
    /** Name of the account; empty if the request has none. */
    std::string account_name_;
    /** The request has a token of this VM's own part of the account's quota. */
    bool own_token_ = false;
    /** Another VM has checked the caller's key and admitted the request. */
    bool relay_admitted_ = false;
    std::string service_;
    std::string id_;
    request_fingerprint fingerprint_;
    request_estimate estimate_;
    /** Share of requests of higher priority that were refused when this one arrived. */
    double urgent_refused_ = 0;
    local_time deadline_;
    std::shared_ptr<async_signal> changed_;
    std::shared_ptr<bool> finished_ = std::make_shared<bool>(false);
    std::vector<std::shared_ptr<call_attempt>> attempts_;
    /** The attempt that ended last; logged. */
    std::shared_ptr<call_attempt> last_attempt_;
    std::set<std::string> tried_;
    /** Upstreams that the request was sent to; all but the first are repeats. */
    int sends_ = 0;
    /** Upstreams that may have executed the request. */
    int runs_ = 0;
    bool hedged_ = false;
    /** VMs that the request was passed on to. */
    int relays_ = 0;
    /** After which the caller is asked to come back, as its account is over its quota. */
    milliseconds quota_delay_{0};
    pick_failure pick_failure_ = pick_failure::none;
    search_record search_;
    /** An attempt that was answered with a server error; forwarded if there is no other answer. */
    std::shared_ptr<call_attempt> failure_answer_;
};

} // namespace sniperock

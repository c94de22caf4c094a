/** @file call_attempt.hpp One attempt to execute a request on one upstream. */
#pragma once

#include "call_context.hpp"
#include "call_picker.hpp"
#include "call_type.hpp"
#include "caller_exchange.hpp"
#include "choice_silence.hpp"

#include <memory>
#include <string>

namespace sniperock {

/** Where an attempt sends the request. */
enum class attempt_route {
    upstream,
    /** To another VM, which selects the upstream. */
    relay,
};

/** Why an attempt is cancelled. */
enum class cancel_cause {
    /** The answer is not wanted any more. */
    unneeded,
    /** Another attempt was answered first. */
    overtaken,
    /** The deadline has passed. */
    late,
};

/** The parts of a call that an attempt uses. */
struct attempt_params {
    exchange_ptr exchange;
    /** Keeps matched_route valid: a cancelled attempt ends after its call, and the configuration
     * may have changed meanwhile. */
    std::shared_ptr<const route_table> table;
    const route* matched_route = nullptr;
    std::string service;
    std::string id;
    request_fingerprint fingerprint;
    local_time deadline;
    attempt_route by = attempt_route::upstream;
    /** Upstreams that another VM may send the request to. */
    int sends_left = 1;
    /** Where the request comes from. */
    call_origin origin = call_origin::caller;
    /** Upstreams that the request was sent to, including this one. */
    int sends = 1;
    /** The configuration names accounts: the caller's credentials are for this VM only. */
    bool with_accounts = false;
    /** Name of the client account; empty if the request has none. */
    std::string account{};
};

/**
 * Sends the request, reads the answer and updates the state of the upstream from it. A small answer
 * is buffered until it is complete; a large one is streamed.
 */
class call_attempt : public std::enable_shared_from_this<call_attempt> {
public:
    call_attempt(call_context& context, attempt_params params, picked_upstream picked);

    /** Runs the attempt; notifies @p changed at its end or when a large answer can be streamed. */
    static task<> run(std::shared_ptr<call_attempt> self, std::shared_ptr<async_signal> changed);
    /** Closes the connection so that the upstream stops processing the request. */
    void cancel(cancel_cause cause = cancel_cause::unneeded);
    /** Ends the attempt if its upstream will never answer it. */
    void check_silence(local_time now);
    /** When check_silence() is due next; empty if it need not be called. */
    [[nodiscard]] std::optional<local_time> next_silence_check(local_time now) const;

    /** Set when the attempt has ended or has a large answer to stream. */
    [[nodiscard]] std::optional<attempt_end> end() const { return end_; }
    [[nodiscard]] const upstream& target() const { return *picked_.target; }
    [[nodiscard]] const choice_basis& basis() const { return picked_.basis; }
    [[nodiscard]] local_time started() const { return started_; }
    /** The upstream may have executed the request. */
    [[nodiscard]] bool may_have_run() const
    {
        return sent_ && end_ != attempt_end::not_executed && end_ != attempt_end::misdirected;
    }
    /** Upstreams that the request was sent to by this attempt. */
    [[nodiscard]] int sends() const
    {
        return end_ == attempt_end::not_sent ? 0 : relayed_sends_.value_or(1);
    }
    /** Status of the accepted answer; 0 if there is none. */
    [[nodiscard]] int status() const { return head_accepted_ ? answer_.status : 0; }
    [[nodiscard]] const caller_response& answer() const { return answer_; }
    /** Lets the attempt stream its large answer to the caller. */
    void allow_streaming() { streaming_allowed_->notify(); }

private:
    void take_idle_connection();
    task<attempt_end> exchange_messages();
    task<attempt_end> read_answer();
    static task<> send_body(std::shared_ptr<call_attempt> self);
    task<> send_body_pieces();
    void send_piece(std::string_view piece);
    task<> skip_unused_body(read_progress progress);
    task<attempt_end> stream_answer();
    void end_stream(call_end reason);
    attempt_end classify_head();
    std::optional<attempt_end> classify_relay(http_head& head);
    [[nodiscard]] bool relayed() const { return params_.by == attempt_route::relay; }
    [[nodiscard]] bool is_forwarded(std::string_view header) const;
    [[nodiscard]] bool may_send() const;
    std::string request_head();
    void finish_attempt(attempt_end end);
    void record_run(attempt_end end, local_time now);
    void record_version(attempt_end end, local_time now);
    void record_domain(attempt_end end, local_time now);
    void probe_target();
    void watch_silence();
    [[nodiscard]] bool awaits_answer() const;

    call_context& context_;
    attempt_params params_;
    picked_upstream picked_;
    std::shared_ptr<http_connection> connection_;
    std::shared_ptr<async_signal> streaming_allowed_;
    std::shared_ptr<async_signal> changed_;
    caller_response answer_;
    local_time started_;
    std::optional<attempt_end> end_;
    bool sent_ = false;
    /** The body is sent in chunks, as its length was not known when the head was sent. */
    bool chunked_body_ = false;
    /** The last byte of the body was passed to the connection. */
    bool body_sent_ = false;
    std::shared_ptr<async_signal> body_received_;
    /** answer_ holds the head of the upstream's answer. */
    bool head_accepted_ = false;
    bool cancelled_ = false;
    cancel_cause cancel_cause_ = cancel_cause::unneeded;
    /** Set once the whole request was sent, if the upstream tells its load. */
    std::optional<silence_watch> silence_;
    bool silent_ = false;
    /** Upstreams that the other VM has sent the request to, if it said so. */
    std::optional<int> relayed_sends_;
    /** The upstream's answer is complete. */
    bool answer_complete_ = false;
    /** The connection could not be established, or closed before a byte was sent. */
    bool unreachable_ = false;
};

} // namespace sniperock

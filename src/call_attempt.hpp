/** @file call_attempt.hpp One attempt at a request on one upstream. */
#pragma once

#include "call_context.hpp"
#include "call_picker.hpp"
#include "call_type.hpp"
#include "caller_exchange.hpp"

#include <memory>
#include <string>

namespace sniperock {

/** What an attempt needs to know of its call. */
struct attempt_params {
    exchange_ptr exchange;
    const route* where = nullptr;
    std::string service;
    std::string id;
    local_time deadline;
};

/**
 * Sends the request, reads the answer and learns from it. A small answer is kept until it is whole;
 * a large one is passed on in pieces.
 */
class call_attempt : public std::enable_shared_from_this<call_attempt> {
public:
    call_attempt(call_context& context, attempt_params order, picked_upstream picked);

    /** Runs to the end; @p changed is notified then, or when the answer is large. */
    static task<> run(std::shared_ptr<call_attempt> self, std::shared_ptr<async_signal> changed);
    /** Closes the connection, so that the upstream stops its work. */
    void cancel();

    /** Set once it has ended, or passes a large answer on. */
    [[nodiscard]] std::optional<attempt_end> end() const { return end_; }
    [[nodiscard]] const upstream& target() const { return *picked_.target; }
    [[nodiscard]] const choice_basis& basis() const { return picked_.basis; }
    [[nodiscard]] local_time started() const { return started_; }
    /** The request may have run. */
    [[nodiscard]] bool may_have_run() const
    {
        return sent_ && end_ != attempt_end::not_executed && end_ != attempt_end::misdirected;
    }
    /** Status of the answer; 0 if there is none. */
    [[nodiscard]] int status() const { return judged_ ? answer_.status : 0; }
    [[nodiscard]] const caller_response& answer() const { return answer_; }
    /** A large answer is ready to be passed on; the call lets it go on. */
    void let_stream() { may_stream_->notify(); }

private:
    void take_kept_connection();
    task<attempt_end> exchange_messages();
    task<attempt_end> read_answer();
    task<> skip_unused_body(read_progress progress);
    task<attempt_end> stream_answer();
    attempt_end judge_head();
    std::string request_bytes() const;
    void settle(attempt_end end);

    call_context& context_;
    attempt_params order_;
    picked_upstream picked_;
    std::shared_ptr<http_connection> connection_;
    std::shared_ptr<async_signal> may_stream_;
    std::shared_ptr<async_signal> changed_;
    caller_response answer_;
    local_time started_;
    std::optional<attempt_end> end_;
    bool sent_ = false;
    /** The head of an answer was taken over. */
    bool judged_ = false;
    bool cancelled_ = false;
    /** It could not be connected to, or closed before a byte was sent. */
    bool unreachable_ = false;
};

} // namespace sniperock

/** @file call.hpp One request of a caller, from its route to its answer. */
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

/** Decides on attempts, repeats and the answer of one request. */
class call : public std::enable_shared_from_this<call> {
public:
    call(call_context& context, exchange_ptr exchange);

    /** Works on the request until it has its answer. */
    static task<> run(std::shared_ptr<call> self);

private:
    task<> work();
    bool find_route();
    void read_deadline();
    task<> try_upstreams();
    task<bool> start_attempt(bool may_wait);
    task<> await_attempts();
    std::shared_ptr<call_attempt> take_ended();
    void handle_ended(call_attempt& attempt);
    repeat_verdict judge_repeat();
    task<> hedge();
    void pass_on(call_attempt& attempt);
    void refuse(call_end end);
    void end_unanswered();
    void finish(call_end end, int status);
    void abandon();
    [[nodiscard]] nanoseconds time_left() const { return deadline_ - boot_clock::now(); }

    call_context& context_;
    exchange_ptr exchange_;
    /** Keeps the route alive when a newer configuration comes. */
    std::shared_ptr<const route_table> table_;
    const route* route_ = nullptr;
    std::string service_;
    std::string id_;
    request_estimate estimate_;
    /** Share of more urgent requests that were refused when this one came. */
    double urgent_refused_ = 0;
    local_time deadline_;
    std::shared_ptr<async_signal> changed_;
    std::shared_ptr<bool> over_ = std::make_shared<bool>(false);
    std::vector<std::shared_ptr<call_attempt>> attempts_;
    /** The attempt that ended last; for the log. */
    std::shared_ptr<call_attempt> last_attempt_;
    std::set<std::string> tried_;
    /** Upstreams that the request was sent to; those beyond the first are repeats. */
    int sends_ = 0;
    /** Upstreams on which it may have run. */
    int runs_ = 0;
    bool hedged_ = false;
    pick_failure pick_failure_ = pick_failure::none;
    search_record search_;
    /** A failure that an upstream answered, passed on if nothing better comes. */
    std::shared_ptr<call_attempt> failure_answer_;
};

} // namespace sniperock

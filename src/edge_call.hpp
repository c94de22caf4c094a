/** @file edge_call.hpp One call from its head to the last byte of its answer. */
#pragma once

#include "edge_attempt.hpp"
#include "edge_relay.hpp"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace sniperock {

class edge_session;

/** What a session knows of a call once its head is complete. */
struct call_request {
    call_spec spec;
    plan_series* series = nullptr;
    latency_quantile* latency = nullptr;
    /** Servers of the service; no more can be tried. */
    std::size_t servers = 0;
    local_time started;
};

/**
 * Finds a server, passes request and answer on, and decides on retries, second attempts and what
 * the caller is told. Used by one io thread.
 */
class edge_call : public std::enable_shared_from_this<edge_call> {
public:
    edge_call(edge_session& session, edge_context& context, call_request request);
    ~edge_call();
    edge_call(const edge_call&) = delete;
    edge_call& operator=(const edge_call&) = delete;

    // For the session.
    /** Asks for a slot. */
    void start();
    /** More of the request's body can be taken. */
    [[nodiscard]] bool wants_body() const;
    /** Takes pieces of the body. @param complete they are the last ones. */
    void take_body(const std::vector<std::string_view>& pieces, bool complete);
    /** The caller closed its connection. */
    void caller_gone();
    /** The caller took all bytes that were unsent. */
    void caller_drained();
    /** Ends the call with an answer of the entry vm's own; its outcome is made truthful. */
    void refuse(local_answer answer);

    // For its attempts.
    [[nodiscard]] bool is_head_request() const;
    [[nodiscard]] bool caller_backlogged() const;
    /** Past this nobody waits for the answer and no server runs the call. */
    [[nodiscard]] local_time deadline() const { return request_.spec.deadline; }
    void attempt_connected(edge_attempt& attempt);
    void attempt_failed(edge_attempt& attempt, std::string_view why);
    void attempt_head(edge_attempt& attempt);
    void attempt_body(const std::vector<std::string_view>& pieces);
    void attempt_complete(edge_attempt& attempt);
    void attempt_drained();
    /** Writes what of the answer is ready; more is to come. */
    void answer_goes_on();

private:
    using slot_answer = std::variant<held_slot, refusal>;

    void request_slot();
    void hand_over_slot(grant_result result);
    void take_slot(slot_answer answer);
    void slot_refused(const refusal& answer);
    void begin_attempt(held_slot slot);
    void schedule_hedge();
    void hedge_due();
    void give_up_hedge();
    void leave_queue();
    void deadline_passed();
    void flush_answer();
    void check_progress();
    void send_request(edge_attempt& attempt);
    void attempt_shed(edge_attempt& attempt);
    void lose_others(const edge_attempt& winner);
    void begin_answer(edge_attempt& attempt);
    bool go_on_answer(edge_attempt& attempt);
    bool may_try_again() const;
    bool try_again(edge_attempt& attempt, bool may_have_run);
    bool ask_anew(edge_attempt& attempt);
    void broken_off();
    void remove(const edge_attempt& attempt);
    [[nodiscard]] call_outcome outcome_so_far() const;
    void cut();
    void end(bool reusable);

    edge_session* session_;
    edge_context& context_;
    call_request request_;
    std::vector<std::shared_ptr<edge_attempt>> attempts_;
    std::size_t tries_ = 0;
    call_ticket ticket_{};
    bool waiting_ = false;
    bool inside_acquire_ = false;
    std::optional<slot_answer> early_slot_;
    edge_timers::timer_key deadline_timer_{};
    edge_timers::timer_key hedge_timer_{};
    edge_timers::timer_key progress_timer_{};
    local_time last_progress_;
    /** An attempt that may have run the call has failed. */
    bool maybe_ran_ = false;
    std::optional<local_answer> last_failure_;
    /** The framed body so far, for another attempt. */
    std::string replay_;
    bool replay_lost_ = false;
    bool body_complete_ = false;
    bool collecting_body_ = false;
    bool answering_ = false;
    bool hedged_ = false;
    answer_relay relay_;
    bool ended_ = false;
};

} // namespace sniperock

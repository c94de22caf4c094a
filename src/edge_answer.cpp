/** @file edge_answer.cpp Passes a server's answer on to the caller. */
#include "edge_call.hpp"
#include "edge_session.hpp"
#include "http_write.hpp"

#include <array>

namespace sniperock {

void edge_call::attempt_head(edge_attempt& attempt)
{
    if (!answering_ && attempt.head().headers.find(edge_header::not_run).value_or("") == "1") {
        attempt_shed(attempt);
        return;
    }
    if (answering_) {
        if (!go_on_answer(attempt)) {
            attempt.end(call_result::failed);
            cut();
        }
        return;
    }
    lose_others(attempt);
    request_.latency->add(boot_clock::now() - attempt.started());
    begin_answer(attempt);
}

void edge_call::begin_answer(edge_attempt& attempt)
{
    answering_ = true;
    leave_queue();
    context_.timers.cancel(deadline_timer_);
    context_.timers.cancel(hedge_timer_);
    last_progress_ = boot_clock::now();
    context_.caller_output.clear();
    if (!body_complete_) {
        session_->close_after_call();
    }
    relay_.begin(context_.caller_output, session_->request(), attempt.head(),
                 session_->closing_after_call());
}

/** Takes the head of a resumed download. @return false if it is not exactly the rest. */
bool edge_call::go_on_answer(edge_attempt& attempt)
{
    context_.caller_output.clear();
    context_.timers.cancel(deadline_timer_);
    last_progress_ = boot_clock::now();
    return relay_.fits(attempt.head());
}

void edge_call::attempt_body(const std::vector<std::string_view>& pieces)
{
    /** Pieces up to this size are copied behind the head, so that one write takes all. */
    constexpr std::size_t max_copied = 16'384;
    auto& out = context_.caller_output;
    for (const auto piece : pieces) {
        relay_.passed(piece.size());
        if (relay_.chunked()) {
            out.append(chunk_prefix(piece.size()));
        }
        if (piece.size() <= max_copied) {
            out.append(piece);
        }
        else {
            const std::array<std::string_view, 2> parts{out, piece};
            if (!session_->write(parts)) {
                caller_gone();
                return;
            }
            out.clear();
        }
        if (relay_.chunked()) {
            out.append(chunk_suffix);
        }
    }
    last_progress_ = boot_clock::now();
}

void edge_call::flush_answer()
{
    if (ended_ || !answering_) {
        return;
    }
    auto& out = context_.caller_output;
    if (!out.empty()) {
        const std::string_view whole{out};
        const bool written = session_->write({&whole, 1});
        out.clear();
        if (!written) {
            caller_gone();
            return;
        }
    }
}

void edge_call::answer_goes_on()
{
    flush_answer();
    if (!ended_ && answering_ && progress_timer_.second == 0) {
        check_progress();
    }
}

/** Ends a body in which nothing moves; runs again and again until the answer is whole. */
void edge_call::check_progress()
{
    const auto self = shared_from_this();
    const auto limit = last_progress_ + context_.parts.limits.stall_timeout;
    if (ended_) {
        return;
    }
    if (boot_clock::now() < limit) {
        progress_timer_ = context_.timers.add(limit, [this] { check_progress(); });
        return;
    }
    progress_timer_ = {};
    if (session_->backlogged() || attempts_.empty()) {
        cut();
        return;
    }
    const auto attempt = attempts_.front();
    attempt->distrust_server();
    attempt_failed(*attempt, "silent in mid-body");
}

void edge_call::caller_drained()
{
    if (ended_ || !answering_) {
        return;
    }
    last_progress_ = boot_clock::now();
    if (!attempts_.empty()) {
        attempts_.front()->resume_reading();
    }
}

void edge_call::attempt_complete(edge_attempt& attempt)
{
    const auto self = shared_from_this();
    if (relay_.chunked()) {
        context_.caller_output.append(last_chunk);
    }
    flush_answer();
    if (ended_) {
        return;
    }
    remove(attempt);
    attempt.end(call_result::answered);
    context_.parts.counters.answered.fetch_add(1, std::memory_order_relaxed);
    request_.series->answered(request_.spec.kind, boot_clock::now() - request_.started);
    end(true);
}

/** The connection broke in mid-body: goes on from another server or breaks off visibly. */
void edge_call::broken_off()
{
    const auto most = std::min(context_.parts.limits.max_attempts, request_.servers);
    const bool wanted = relay_.resumable() && tries_ < most;
    if (ended_) {
        return;
    }
    if (!wanted || !context_.retries.spend()) {
        cut();
        return;
    }
    context_.parts.measured.resumes.Increment();
    context_.timers.cancel(progress_timer_);
    progress_timer_ = {};
    request_.spec.deadline = boot_clock::now() + context_.parts.limits.stall_timeout;
    context_.timers.cancel(deadline_timer_);
    deadline_timer_ = context_.timers.add(request_.spec.deadline, [this] { deadline_passed(); });
    request_slot();
}

} // namespace sniperock

/** @file edge_call.cpp Slots, attempts, retries and outcomes of one call. */
#include "edge_call.hpp"
#include "edge_session.hpp"
#include "event_type.hpp"
#include "http_write.hpp"

#include <asio/post.hpp>

#include <algorithm>
#include <ranges>

namespace sniperock {
namespace {

/** Bytes of a request's body that are kept for another attempt. */
constexpr std::size_t max_replay_bytes = 65'536;
/** When to come back after a failure that says nothing better. */
constexpr milliseconds retry_after_failure{1000};

int status_of(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::unknown_service:
        return http_status::not_found;
    case refusal_reason::plan_rate:
    case refusal_reason::plan_concurrency:
    case refusal_reason::no_allowance:
        return http_status::too_many_requests;
    case refusal_reason::deadline:
        return http_status::gateway_timeout;
    default:
        return http_status::service_unavailable;
    }
}

} // namespace

edge_call::edge_call(edge_session& session, edge_context& context, call_request request)
    : session_(&session), context_(context), request_(std::move(request)),
      body_complete_(session.request_complete())
{
}

edge_call::~edge_call()
{
    end(false);
}

void edge_call::start()
{
    context_.retries.earn();
    context_.hedges.earn();
    context_.parts.counters.running.fetch_add(1, std::memory_order_relaxed);
    deadline_timer_ = context_.timers.add(request_.spec.deadline, [this] { deadline_passed(); });
    request_slot();
}

void edge_call::request_slot()
{
    waiting_ = true;
    inside_acquire_ = true;
    const auto self = shared_from_this();
    ticket_ = context_.parts.slots.acquire(
        request_.spec, boot_clock::now(), system_clock_source::wall_now(),
        [self](grant_result result) { self->hand_over_slot(std::move(result)); });
    inside_acquire_ = false;
    if (early_slot_) {
        auto answer = std::move(*early_slot_);
        early_slot_.reset();
        take_slot(std::move(answer));
    }
}

/** Brings the dispatcher's answer to this call's thread; runs on any thread. */
void edge_call::hand_over_slot(grant_result result)
{
    auto answer =
        std::holds_alternative<grant>(result)
            ? slot_answer{held_slot(context_.parts.slots, std::move(std::get<grant>(result)))}
            : slot_answer{std::get<refusal>(result)};
    if (std::this_thread::get_id() == context_.thread && inside_acquire_) {
        early_slot_.emplace(std::move(answer));
        return;
    }
    asio::post(context_.io, [self = shared_from_this(), answer = std::move(answer)]() mutable {
        self->take_slot(std::move(answer));
    });
}

void edge_call::take_slot(slot_answer answer)
{
    const auto self = shared_from_this();
    waiting_ = false;
    ticket_ = {};
    if (ended_) {
        return;
    }
    if (answering_ && !attempts_.empty()) {
        // A second attempt that is needed no more; its slot is released unused.
        return;
    }
    if (const auto* no_slot = std::get_if<refusal>(&answer)) {
        slot_refused(*no_slot);
        return;
    }
    begin_attempt(std::move(std::get<held_slot>(answer)));
}

void edge_call::slot_refused(const refusal& answer)
{
    if (!attempts_.empty()) {
        return;
    }
    if (answering_) {
        cut();
        return;
    }
    if (last_failure_) {
        refuse(*last_failure_);
        return;
    }
    refuse({status_of(answer.reason), to_name(answer.reason), call_outcome::not_run,
            answer.retry_after});
}

void edge_call::begin_attempt(held_slot slot)
{
    ++tries_;
    const auto attempt = std::make_shared<edge_attempt>(*this, context_, std::move(slot));
    attempts_.push_back(attempt);
    if (attempts_.size() > 1) {
        hedged_ = true;
        context_.parts.measured.hedges.Increment();
    }
    const auto& limits = context_.parts.limits;
    const bool safe = request_.spec.kind == call_class::safe;
    attempt->open(safe ? limits.upstream_idle : limits.proven_for);
    if (!ended_ && attempts_.size() == 1 && tries_ == 1) {
        schedule_hedge();
    }
}

void edge_call::schedule_hedge()
{
    if (request_.spec.kind != call_class::safe || !body_complete_) {
        return;
    }
    if (const auto usual = request_.latency->value()) {
        const auto wait = std::max<nanoseconds>(*usual, context_.parts.limits.hedge_least);
        hedge_timer_ = context_.timers.add(boot_clock::now() + wait, [this] { hedge_due(); });
    }
}

/** Asks for a second server; one that is not free soon is not waited for. */
void edge_call::hedge_due()
{
    const auto self = shared_from_this();
    if (ended_ || answering_ || waiting_ || attempts_.size() != 1 || !context_.hedges.spend()) {
        return;
    }
    request_.spec.avoid.push_back(attempts_.front()->slot().server.server);
    request_slot();
    if (waiting_ && !ended_) {
        hedge_timer_ = context_.timers.add(boot_clock::now() + context_.parts.limits.hedge_wait,
                                           [this] { give_up_hedge(); });
    }
}

/** Leaves the queue, unless the first attempt has failed meanwhile and this is its retry. */
void edge_call::give_up_hedge()
{
    if (!attempts_.empty()) {
        leave_queue();
    }
}

void edge_call::leave_queue()
{
    if (waiting_ && ticket_.value != 0 && context_.parts.slots.cancel(ticket_)) {
        waiting_ = false;
        ticket_ = {};
    }
}

void edge_call::deadline_passed()
{
    const auto self = shared_from_this();
    if (ended_) {
        return;
    }
    if (answering_) {
        // The rest of a download did not come.
        cut();
        return;
    }
    std::ranges::for_each(attempts_, [](const auto& attempt) {
        if (attempt->written() && !attempt->heard()) {
            attempt->distrust_server();
        }
    });
    refuse({http_status::gateway_timeout, to_name(edge_reason::deadline), call_outcome::not_run,
            milliseconds{0}});
}

bool edge_call::is_head_request() const
{
    return session_->request().method == "HEAD";
}

bool edge_call::caller_backlogged() const
{
    return session_ != nullptr && session_->backlogged();
}

void edge_call::attempt_connected(edge_attempt& attempt)
{
    send_request(attempt);
    if (!ended_ && !attempt.ended() && !body_complete_) {
        session_->pump_body();
    }
}

/** Sends the head and as much of the body as is there, in one write. */
void edge_call::send_request(edge_attempt& attempt)
{
    const auto& head = session_->request();
    if (!body_complete_) {
        session_->allow_body();
        collecting_body_ = true;
        session_->pump_body();
        collecting_body_ = false;
        if (ended_) {
            return;
        }
    }
    auto& out = context_.upstream_output;
    out.clear();
    append_server_request(out, head, answering_);
    if (answering_) {
        relay_.append_range_headers(out);
    }
    out.append(edge_header::deadline).append(": ");
    append_number(out, static_cast<std::uint64_t>(to_unix_us(attempt.slot().fence)));
    out.append("\r\n");
    append_header(out, edge_header::call_id, context_.make_call_id());
    append_framing(out, head.framing, head.body_length);
    out.append("\r\n").append(replay_);
    const std::string_view whole{out};
    attempt.send({&whole, 1});
    if (body_complete_) {
        attempt.request_sent();
    }
}

bool edge_call::wants_body() const
{
    if (collecting_body_) {
        return replay_.size() < max_replay_bytes;
    }
    return attempts_.size() == 1 && attempts_.front()->connected() &&
           !attempts_.front()->backlogged() && !attempts_.front()->request_broken();
}

void edge_call::take_body(const std::vector<std::string_view>& pieces, bool complete)
{
    body_complete_ = complete;
    last_progress_ = boot_clock::now();
    std::string framed;
    const bool chunked = session_->request().framing == body_framing::chunked;
    for (const auto piece : pieces) {
        if (chunked) {
            framed.append(chunk_prefix(piece.size())).append(piece).append(chunk_suffix);
        }
        else {
            framed.append(piece);
        }
    }
    if (complete && chunked) {
        framed.append(last_chunk);
    }
    if (!replay_lost_ && (collecting_body_ || replay_.size() + framed.size() <= max_replay_bytes)) {
        replay_.append(framed);
    }
    else {
        replay_lost_ = true;
        std::string{}.swap(replay_);
    }
    if (collecting_body_ || attempts_.empty()) {
        return;
    }
    const auto attempt = attempts_.front();
    const std::string_view whole{framed};
    attempt->send({&whole, 1});
    if (complete && !attempt->ended()) {
        attempt->request_sent();
    }
}

void edge_call::attempt_drained()
{
    if (!ended_ && !body_complete_) {
        session_->pump_body();
    }
}

void edge_call::attempt_failed(edge_attempt& attempt, std::string_view why)
{
    const auto self = shared_from_this();
    if (ended_ || attempt.ended()) {
        return;
    }
    if (context_.may_log()) {
        log_event(event::server_failed, {{"service", attempt.slot().server.service},
                                         {"server", attempt.slot().server.server},
                                         {"reason", std::string{why}}});
    }
    if (answering_) {
        flush_answer();
        request_.spec.avoid.push_back(attempt.slot().server.server);
        attempt.end(call_result::failed);
        remove(attempt);
        broken_off();
        return;
    }
    if (ask_anew(attempt)) {
        return;
    }
    const bool written = attempt.written();
    maybe_ran_ = maybe_ran_ || written;
    last_failure_ = local_answer{http_status::bad_gateway, to_name(edge_reason::server_failed),
                                 call_outcome::not_run, milliseconds{0}};
    attempt.end(written ? call_result::failed : call_result::not_sent);
    if (!try_again(attempt, written)) {
        refuse(*last_failure_);
    }
}

/**
 * A kept connection that the server had closed is no verdict on it, but it may have restarted cold:
 * the slot goes back, and a new one is asked for under the limit that now holds.
 * @return false if the call may not be repeated.
 */
bool edge_call::ask_anew(edge_attempt& attempt)
{
    if (!attempt.reused() || attempt.heard() || replay_lost_) {
        return false;
    }
    if (attempt.written()) {
        if (request_.spec.kind == call_class::non_idempotent || !context_.retries.spend()) {
            return false;
        }
        maybe_ran_ = true;
        context_.parts.measured.retries.Increment();
    }
    attempt.distrust_server();
    attempt.end(call_result::failed);
    remove(attempt);
    if (attempts_.empty() && !waiting_) {
        request_slot();
    }
    return true;
}

bool edge_call::may_try_again() const
{
    const auto most = std::min(context_.parts.limits.max_attempts, request_.servers);
    return tries_ < most && boot_clock::now() < request_.spec.deadline;
}

/**
 * Takes a failed attempt out and goes on with another server if that is allowed.
 * @return false if the call has to end.
 */
bool edge_call::try_again(edge_attempt& attempt, bool may_have_run)
{
    const auto server = attempt.slot().server.server;
    remove(attempt);
    if (!attempts_.empty() || waiting_) {
        return true;
    }
    const bool repeatable = !may_have_run || request_.spec.kind != call_class::non_idempotent;
    if (!repeatable || replay_lost_ || !may_try_again() || !context_.retries.spend()) {
        return false;
    }
    context_.parts.measured.retries.Increment();
    request_.spec.avoid.push_back(server);
    request_slot();
    return true;
}

void edge_call::attempt_shed(edge_attempt& attempt)
{
    const auto after = attempt.head().headers.find("retry-after");
    auto wait = retry_after_failure;
    if (after) {
        wait = parse_retry_after(*after).value_or(wait);
    }
    last_failure_ = local_answer{http_status::service_unavailable, to_name(edge_reason::shed),
                                 call_outcome::not_run, wait};
    attempt.end(call_result::shed);
    if (!try_again(attempt, false)) {
        refuse(*last_failure_);
    }
}

void edge_call::lose_others(const edge_attempt& winner)
{
    if (hedged_ && attempts_.size() > 1 && attempts_.back().get() == &winner) {
        context_.parts.measured.hedges_won.Increment();
    }
    const auto all = attempts_;
    for (const auto& attempt :
         all | std::views::filter([&](const auto& item) { return item.get() != &winner; })) {
        if (attempt->written() && !attempt->heard()) {
            attempt->distrust_server();
        }
        attempt->end(call_result::cancelled);
        remove(*attempt);
    }
}

void edge_call::refuse(local_answer answer)
{
    const auto self = shared_from_this();
    if (ended_) {
        return;
    }
    if (answering_) {
        cut();
        return;
    }
    answer.outcome = outcome_so_far();
    auto& counters = context_.parts.counters;
    auto& count = answer.outcome == call_outcome::unknown ? counters.unknown : counters.not_run;
    count.fetch_add(1, std::memory_order_relaxed);
    request_.series->not_answered(answer.outcome, answer.reason);
    if (!body_complete_) {
        session_->close_after_call();
    }
    session_->write_local(answer);
    end(true);
}

call_outcome edge_call::outcome_so_far() const
{
    const bool written =
        std::ranges::any_of(attempts_, [](const auto& attempt) { return attempt->written(); });
    return written || maybe_ran_ ? call_outcome::unknown : call_outcome::not_run;
}

void edge_call::caller_gone()
{
    const auto self = shared_from_this();
    if (ended_) {
        return;
    }
    context_.parts.measured.cancelled.Increment();
    end(false);
}

void edge_call::cut()
{
    const auto self = shared_from_this();
    if (ended_) {
        return;
    }
    context_.parts.measured.cut.Increment();
    context_.parts.counters.unknown.fetch_add(1, std::memory_order_relaxed);
    request_.series->not_answered(call_outcome::unknown, to_name(edge_reason::server_failed));
    end(false);
}

void edge_call::remove(const edge_attempt& attempt)
{
    std::erase_if(attempts_, [&](const auto& item) { return item.get() == &attempt; });
}

/** Gives everything back. @param reusable false closes the caller's connection at once. */
void edge_call::end(bool reusable)
{
    if (std::exchange(ended_, true)) {
        return;
    }
    context_.timers.cancel(deadline_timer_);
    context_.timers.cancel(hedge_timer_);
    context_.timers.cancel(progress_timer_);
    leave_queue();
    const auto left = std::exchange(attempts_, {});
    std::ranges::for_each(left, [](const auto& attempt) { attempt->end(call_result::cancelled); });
    context_.parts.counters.running.fetch_sub(1, std::memory_order_relaxed);
    if (auto* session = std::exchange(session_, nullptr)) {
        session->call_done(reusable);
    }
}

} // namespace sniperock

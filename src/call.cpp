/** @file call.cpp One request of a caller, from its route to its answer. */
#include "call.hpp"

#include "call_log.hpp"
#include "refusal.hpp"

#include <algorithm>
#include <ranges>

namespace sniperock {
namespace {

/** With less than this left, another attempt cannot end in time. */
constexpr milliseconds least_left{15};
/** Upstreams tried for one call, those counted that could not be connected to: each costs up to a
 * connection's time limit. */
constexpr std::size_t most_tried = 6;
/** A second attempt is made when the first takes this many times the expected work. */
constexpr double hedge_after_work = 2.5;
/** But not sooner than after this part of the target. */
constexpr double hedge_after_target = 0.6;

milliseconds whole_ms(nanoseconds time)
{
    return std::chrono::duration_cast<milliseconds>(time);
}

} // namespace

call::call(call_context& context, exchange_ptr exchange)
    : context_(context), exchange_(std::move(exchange)), table_(context.routes.table()),
      changed_(std::make_shared<async_signal>(context.io.get_executor()))
{
}

task<> call::run(std::shared_ptr<call> self)
{
    co_await self->work();
}

task<> call::work()
{
    exchange_->on_abandoned([self = shared_from_this()] { self->abandon(); });
    id_ = exchange_->request().head.headers.find(context_.dialect.attempt_id).value_or("");
    if (!find_route()) {
        co_return;
    }
    read_deadline();
    estimate_ = context_.estimates.for_route(*route_);
    context_.budget_of(service_).count_request(exchange_->request().received_at);
    co_await try_upstreams();
}

bool call::find_route()
{
    if (!table_) {
        refuse(call_end::no_configuration);
        return false;
    }
    const auto& request = exchange_->request();
    route_ = table_->find(request.host(), request.head.target);
    if (route_ == nullptr) {
        refuse(call_end::no_route);
        return false;
    }
    service_ = context_.splitter.next_service(*route_);
    return true;
}

/** The call ends when the caller's time is up or the operator's, whichever is first. */
void call::read_deadline()
{
    const auto& request = exchange_->request();
    const auto stated = request.head.headers.find(context_.dialect.deadline_ms);
    const auto value = stated ? parse_unsigned(stated->substr(0, stated->find('.'))) : std::nullopt;
    constexpr std::uint64_t longest_ms = 86'400'000;
    auto limit =
        value ? milliseconds{std::min(*value, longest_ms)} : context_.settings.default_deadline;
    if (route_->timeout > milliseconds{0}) {
        limit = std::min(limit, route_->timeout);
    }
    deadline_ = request.received_at + limit;
}

task<> call::try_upstreams()
{
    urgent_refused_ = context_.yielding.urgent_refusal_ratio(service_, route_->priority,
                                                             exchange_->request().received_at);
    if (should_shed(urgent_refused_, context_.random)) {
        refuse(call_end::yielded);
        co_return;
    }
    const bool started = co_await start_attempt(true);
    if (!*over_) {
        const bool refused = !started && pick_failure_ == pick_failure::no_slot;
        context_.yielding.record(service_, route_->priority, refused, boot_clock::now());
    }
    if (!started) {
        end_unanswered();
        co_return;
    }
    co_await await_attempts();
}

/** Finds an upstream and starts an attempt there. @return false if none takes the request. */
task<bool> call::start_attempt(bool may_wait)
{
    pick_request wanted{route_,
                        service_,
                        table_->find_service(service_),
                        estimate_,
                        tried_,
                        exchange_->request().received_at,
                        may_wait,
                        deadline_ - least_left};
    const std::shared_ptr<const bool> cancelled = over_;
    auto result = co_await pick_upstream(context_, std::move(wanted), cancelled);
    search_ = result.record;
    if (result.picked && (*over_ || time_left() < least_left)) {
        release_slot(*result.picked->target);
        if (result.picked->connection) {
            context_.pool.put_back(*result.picked->target, result.picked->connection,
                                   boot_clock::now());
        }
        result.picked.reset();
    }
    if (!result.picked) {
        pick_failure_ = result.failure;
        co_return false;
    }
    tried_.insert(result.picked->target->entry.id);
    ++sends_;
    const auto attempt = std::make_shared<call_attempt>(
        context_, attempt_params{exchange_, route_, service_, id_, deadline_},
        std::move(*result.picked));
    attempts_.push_back(attempt);
    start_task(context_.io.get_executor(), call_attempt::run(attempt, changed_));
    co_return true;
}

/** Waits for the ends of attempts and decides what follows, until the call has its answer. */
task<> call::await_attempts()
{
    while (!*over_) {
        if (const auto ended = take_ended()) {
            handle_ended(*ended);
            if (!*over_ && attempts_.empty()) {
                const auto verdict = judge_repeat();
                bool again = verdict == repeat_verdict::allowed;
                if (again) {
                    if (sends_ > 0) {
                        context_.measured.repeats.Increment();
                    }
                    again = co_await start_attempt(true);
                }
                else {
                    log_repeat_denied(id_, service_, verdict);
                }
                if (!again && !*over_) {
                    end_unanswered();
                }
            }
            continue;
        }
        if (time_left() <= nanoseconds{0}) {
            end_unanswered();
            co_return;
        }
        const auto hedge_after = std::chrono::duration<double, std::milli>{
            std::max(estimate_.work_ms * hedge_after_work,
                     static_cast<double>(route_->target_latency.count()) * hedge_after_target)};
        const auto hedge_at =
            attempts_.front()->started() + std::chrono::duration_cast<nanoseconds>(hedge_after);
        const auto now = boot_clock::now();
        if (!hedged_ && now >= hedge_at) {
            co_await hedge();
            continue;
        }
        const auto until = hedged_ ? deadline_ : std::min(deadline_, hedge_at);
        co_await changed_->wait_for(until - now);
    }
}

/** Makes a second attempt while the first still runs, if the request may run twice. */
task<> call::hedge()
{
    hedged_ = true;
    if (!is_repeatable(route_->kind)) {
        co_return;
    }
    const auto verdict = judge_repeat();
    if (verdict != repeat_verdict::allowed) {
        log_repeat_denied(id_, service_, verdict);
        co_return;
    }
    const auto& first = *attempts_.front();
    const auto waited = boot_clock::now() - first.started();
    const auto first_upstream = first.target().entry.id;
    const bool started = co_await start_attempt(false);
    if (started) {
        context_.measured.hedges.Increment();
        log_hedge(id_, service_, first_upstream, waited, *attempts_.back());
    }
}

std::shared_ptr<call_attempt> call::take_ended()
{
    const auto found = std::ranges::find_if(
        attempts_, [](const auto& attempt) { return attempt->end().has_value(); });
    if (found == attempts_.end()) {
        return nullptr;
    }
    auto attempt = *found;
    last_attempt_ = attempt;
    attempts_.erase(found);
    return attempt;
}

void call::handle_ended(call_attempt& attempt)
{
    if (attempt.may_have_run()) {
        ++runs_;
    }
    if (attempt.end() == attempt_end::not_sent) {
        --sends_;
    }
    const bool answered = attempt.end() == attempt_end::answered;
    const bool failure = answered && attempt.status() >= http_status::first_server_error;
    if (attempt.end() == attempt_end::streamed ||
        (answered && (!failure || !is_repeatable(route_->kind)))) {
        pass_on(attempt);
        return;
    }
    log_attempt(id_, service_, attempt);
    if (failure) {
        failure_answer_ = attempt.shared_from_this();
    }
}

/** Whether the request may be sent once more; a repeat is taken from the budget. */
repeat_verdict call::judge_repeat()
{
    if (runs_ > 0 && !is_repeatable(route_->kind)) {
        return repeat_verdict::may_have_run;
    }
    if (sends_ >= std::max(route_->max_attempts, 1) || tried_.size() >= most_tried) {
        return repeat_verdict::most_sends;
    }
    if (time_left() < least_left) {
        return repeat_verdict::no_time;
    }
    if (sends_ > 0 &&
        !context_.budget_of(service_).spend(boot_clock::now(), context_.fleet.members.size())) {
        context_.measured.repeats_denied.Increment();
        return repeat_verdict::no_budget;
    }
    return repeat_verdict::allowed;
}

/** Passes an upstream's answer on. */
void call::pass_on(call_attempt& attempt)
{
    if (attempt.end() == attempt_end::streamed) {
        attempt.let_stream();
    }
    else {
        exchange_->respond(attempt.answer());
    }
    finish(call_end::answered, attempt.status());
}

/** Answers that no upstream's answer will come, truthfully. */
void call::end_unanswered()
{
    if (*over_) {
        return;
    }
    const bool running =
        std::ranges::any_of(attempts_, [](const auto& attempt) { return attempt->may_have_run(); });
    if (running || runs_ > 0) {
        if (failure_answer_) {
            pass_on(*failure_answer_);
            return;
        }
        refuse(time_left() < least_left ? call_end::timed_out : call_end::failed);
        return;
    }
    if (time_left() < least_left) {
        refuse(call_end::expired);
    }
    else if (sends_ > 0) {
        refuse(call_end::not_run);
    }
    else {
        refuse(pick_failure_ == pick_failure::no_upstream ? call_end::no_upstream
                                                          : call_end::no_slot);
    }
}

/** Answers by itself. */
void call::refuse(call_end end)
{
    caller_response answer{status_of(end), {}, {}};
    if (answer.status == status_of(call_end::not_run)) {
        const auto target = route_ == nullptr ? default_target_latency : route_->target_latency;
        const auto left =
            route_ == nullptr ? target : std::max(whole_ms(time_left()), milliseconds{0});
        answer.headers.add("Retry-After",
                           format_retry_after(retry_delay(target, left, context_.random)));
    }
    exchange_->respond(answer);
    finish(end, answer.status);
}

void call::finish(call_end end, int status)
{
    if (std::exchange(*over_, true)) {
        return;
    }
    const auto took = boot_clock::now() - exchange_->request().received_at;
    if (!last_attempt_ && !attempts_.empty()) {
        last_attempt_ = attempts_.back();
    }
    for (const auto& attempt : std::exchange(attempts_, {})) {
        runs_ += attempt->may_have_run() ? 1 : 0;
        attempt->cancel();
    }
    context_.measured.ended(service_, route_ == nullptr ? std::string{} : route_->name, end,
                            std::chrono::duration<double>(took).count());
    log_call({id_, route_, service_, end, status, sends_, runs_, whole_ms(took),
              last_attempt_.get(), search_, urgent_refused_, exchange_->request().received_at},
             context_.settings);
}

/** The caller left: upstreams are told to stop by closing their connections. */
void call::abandon()
{
    finish(call_end::abandoned, 0);
    changed_->notify();
}

} // namespace sniperock

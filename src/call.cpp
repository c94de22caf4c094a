/** @file call.cpp One request of a caller, from route lookup to answer. */
#include "call.hpp"

#include "call_log.hpp"
#include "refusal.hpp"
#include "request_identity.hpp"

#include <algorithm>
#include <ranges>

namespace sniperock {
namespace {

/** With less time left, another attempt cannot finish before the deadline. */
constexpr milliseconds min_time_left{15};
/** Upstreams tried for one call, including those that could not be connected to: each of these
 * costs up to the connection timeout. */
constexpr std::size_t max_upstreams_tried = 6;
/** A request is hedged when the first attempt takes this many times the expected work time. */
constexpr double hedge_work_factor = 2.5;
/** VMs to which a request is passed on until one can send it. */
constexpr int max_relays = 3;
/** A request is not hedged before this fraction of the target latency has passed. */
constexpr double hedge_target_factor = 0.6;

milliseconds to_milliseconds(nanoseconds time)
{
    return std::chrono::duration_cast<milliseconds>(time);
}

/** Why the attempts are cancelled that are in progress when a call ends. */
cancel_cause cause_of(call_end end)
{
    switch (end) {
    case call_end::answered:
        return cancel_cause::overtaken;
    case call_end::timed_out:
        return cancel_cause::late;
    default:
        return cancel_cause::unneeded;
    }
}

/** How a call ends for which no upstream was selected. */
call_end end_of(pick_failure failure)
{
    switch (failure) {
    case pick_failure::no_upstream:
        return call_end::no_upstream;
    case pick_failure::limited:
        return call_end::limited;
    case pick_failure::quarantined:
        return call_end::quarantined;
    default:
        return call_end::no_slot;
    }
}

} // namespace

call::call(call_context& context, exchange_ptr exchange, call_origin origin)
    : context_(context), exchange_(std::move(exchange)), origin_(origin),
      table_(context.routes.table()),
      changed_(std::make_shared<async_signal>(context.io.get_executor()))
{
}

task<> call::run(std::shared_ptr<call> self)
{
    co_await self->process();
}

task<> call::process()
{
    exchange_->on_abandoned([self = shared_from_this()] { self->abandon(); });
    exchange_->on_exit([self = shared_from_this()] { self->end_for_exit(); });
    id_ = exchange_->request().head.headers.find(context_.dialect.attempt_id).value_or("");
    identify_account();
    // Without a configuration it is not known whether the credentials are a key.
    const bool may_hold_key = !table_ || has_accounts();
    fingerprint_ = fingerprint_of(exchange_->request(),
                                  may_hold_key ? std::optional<std::string_view>{account_name_}
                                               : std::nullopt);
    if (!find_route()) {
        co_return;
    }
    read_deadline();
    if (!may_accept(context_.leaving, boot_clock::now(), deadline_)) {
        refuse(call_end::leaving);
        co_return;
    }
    if (context_.quarantine.verdict(fingerprint_, boot_clock::now()) ==
        quarantine_verdict::refused) {
        refuse(call_end::quarantined);
        co_return;
    }
    if (!co_await pass_quota()) {
        co_return;
    }
    estimate_ = context_.estimates.for_route(*route_);
    estimate_.request_bytes = static_cast<double>(body_bytes());
    estimate_.ms_per_1000_bytes = context_.settings.cross_domain_ms;
    if (!may_relay() || !context_.reach.unreachable(service_)) {
        // A request that is passed on counts at the VM that sends it.
        context_.retry_budget_of(service_).count_request(exchange_->request().received_at);
    }
    co_await try_upstreams();
}

/** Finds the account that the request belongs to: that of its key, or the one that the VM states
 * which has admitted it. */
void call::identify_account()
{
    const auto& headers = exchange_->request().head.headers;
    relay_admitted_ = origin_ == call_origin::relay &&
                      headers.find(relay_admitted_header) == relay_admitted_value;
    if (relay_admitted_) {
        account_name_ = headers.find(context_.dialect.account).value_or("");
        account_ = table_ ? table_->accounts().find_name(account_name_) : nullptr;
    }
    else if (table_) {
        account_ =
            table_->accounts().find_key(stated_key(headers, context_.dialect.account_scheme));
        account_name_ = account_ == nullptr ? "" : account_->name;
    }
}

/** Whether accounts are used for this request, by this VM or the one that has passed it on. */
bool call::has_accounts() const
{
    return relay_admitted_ || (table_ && table_->accounts().in_force());
}

request_urgency call::urgency() const
{
    if (!has_accounts()) {
        return {0, route_->priority};
    }
    return {account_ == nullptr ? no_account_priority : account_->priority, route_->priority};
}

/** Refuses a request whose route needs an account, unless it has one. A VM that passes a request on
 * has checked that. */
bool call::check_account()
{
    if (!has_accounts() || route_->is_public || relay_admitted_ || account_ != nullptr) {
        return true;
    }
    const auto now = boot_clock::now();
    if (const auto refused = context_.refused_accounts.record(now)) {
        const bool stated = exchange_->request().head.headers.find("authorization").has_value();
        log_unknown_account(route_->name, stated, *refused);
    }
    refuse(call_end::unknown_account);
    return false;
}

/** Length of the request's body: as stated, or as much as has arrived. */
std::uint64_t call::body_bytes() const
{
    const auto& request = exchange_->request();
    const auto text = request.head.headers.find("Content-Length");
    const auto stated = text ? parse_unsigned(*text) : std::nullopt;
    const std::uint64_t received = request.body ? request.body->received() : 0;
    return std::max(stated.value_or(0), received);
}

/** Waits until the account may send a request, or refuses it. A request that another VM has passed
 * on was charged there. @return false if the call has ended. */
task<bool> call::pass_quota()
{
    if (account_ == nullptr || relay_admitted_) {
        co_return true;
    }
    const auto verdict = std::make_shared<std::optional<quota_verdict>>();
    const auto subject = subject_of(account_->name);
    const auto now = boot_clock::now();
    // Half of the time is left for the request itself.
    const auto waiting = context_.quotas.admit(subject, now, now + time_left() / 2,
                                               [verdict, changed = changed_](const auto& given) {
                                                   *verdict = given;
                                                   changed->notify();
                                               });
    while (!*verdict && !*finished_) {
        co_await changed_->wait_for(max_quota_wait);
    }
    if (*finished_) {
        // The caller has left: what it waited for, or has just got, is another one's.
        context_.quotas.cancel(subject, waiting);
        if (*verdict && (*verdict)->own_token) {
            context_.quotas.give_back(subject, boot_clock::now());
        }
        co_return false;
    }
    own_token_ = (*verdict)->own_token;
    if (!(*verdict)->admitted) {
        quota_delay_ = (*verdict)->retry_after;
        if (const auto refused = context_.over_quota.record(boot_clock::now())) {
            log_over_quota(account_->name, quota_delay_, *refused);
        }
        refuse(call_end::over_quota);
    }
    co_return !*finished_;
}

bool call::find_route()
{
    if (!table_ || context_.outdated) {
        refuse(call_end::no_configuration);
        return false;
    }
    const auto& request = exchange_->request();
    route_ = table_->find(request.host(), request.head.target);
    if (route_ == nullptr) {
        refuse(call_end::no_route);
        return false;
    }
    if (!check_account()) {
        return false;
    }
    service_ = context_.splitter.next_service(*route_);
    return true;
}

/** Sets the deadline to the caller's limit, or the default one, but at most the route's timeout. */
void call::read_deadline()
{
    const auto& request = exchange_->request();
    const auto header = request.head.headers.find(context_.dialect.deadline_ms);
    const auto value = header ? parse_unsigned(header->substr(0, header->find('.'))) : std::nullopt;
    constexpr std::uint64_t max_deadline_ms = 86'400'000;
    auto limit = value ? milliseconds{std::min(*value, max_deadline_ms)}
                       : context_.settings.default_deadline;
    if (route_->timeout > milliseconds{0}) {
        limit = std::min(limit, route_->timeout);
    }
    deadline_ = request.started_at + limit;
}

task<> call::try_upstreams()
{
    urgent_refused_ = context_.load_shedding.urgent_refusal_ratio(service_, urgency(),
                                                                  exchange_->request().received_at);
    if (should_shed(urgent_refused_, context_.random)) {
        refuse(call_end::yielded);
        co_return;
    }
    const bool started = co_await start_attempt(true);
    if (!*finished_) {
        const bool refused = !started && (pick_failure_ == pick_failure::no_slot ||
                                          pick_failure_ == pick_failure::limited);
        context_.load_shedding.record(service_, urgency(), refused, boot_clock::now());
    }
    if (!started) {
        end_unanswered();
        co_return;
    }
    co_await await_attempts();
}

/** Gives up the upstream that a search has selected. */
void call::put_back(pick_result& result)
{
    release_slot(*result.picked->target);
    if (result.picked->connection) {
        context_.pool.put_back(*result.picked->target, result.picked->connection,
                               boot_clock::now());
    }
    result.picked.reset();
}

/** Whether the request may be sent now; if its quarantine is over, this begins a trial. */
bool call::passes_quarantine()
{
    const auto now = boot_clock::now();
    const auto verdict = context_.quarantine.verdict(fingerprint_, now);
    if (verdict == quarantine_verdict::trial) {
        context_.quarantine.begin_trial(fingerprint_, now);
    }
    return verdict != quarantine_verdict::refused;
}

/** Whether another VM may be asked to send the request. */
bool call::may_relay() const
{
    return origin_ == call_origin::caller && relays_ < max_relays && sends_ < max_sends();
}

/** True if an upstream of the service is silent and none has answered lately: they may be out of
 * reach, which is known for certain only later. */
bool call::none_answered() const
{
    const auto now = boot_clock::now();
    const auto& items = context_.registry.of_service(service_);
    return std::ranges::any_of(
               items, [](const upstream_ptr& item) { return item->silent_since.has_value(); }) &&
           std::ranges::none_of(items, [now](const upstream_ptr& item) {
               return now - item->answered_at < min_silence;
           });
}

/** Upstreams that the request may be sent to. */
int call::max_sends() const
{
    const auto of_route = std::max(route_->max_attempts, 1);
    const auto text = exchange_->request().head.headers.find(relay_attempts_header);
    const auto of_relay =
        origin_ == call_origin::relay && text ? parse_unsigned(*text) : std::nullopt;
    return of_relay ? static_cast<int>(std::min<std::uint64_t>(*of_relay, of_route)) : of_route;
}

/** Passes the request on to another VM. @return false if none can send it. */
bool call::start_relay()
{
    const auto peer = context_.relays.pick(service_, tried_, boot_clock::now());
    if (!peer) {
        return false;
    }
    ++relays_;
    ++peer->in_flight;
    // The other VM hedges where that helps.
    hedged_ = true;
    context_.stats.relays.Increment();
    start({peer, nullptr, {}}, attempt_route::relay);
    return true;
}

void call::start(picked_upstream picked, attempt_route by)
{
    const int sends_left = max_sends() - sends_;
    tried_.insert(picked.target->entry.id);
    ++sends_;
    const auto attempt = std::make_shared<call_attempt>(
        context_,
        attempt_params{exchange_, table_, route_, service_, id_, fingerprint_, deadline_, by,
                       sends_left, origin_, sends_, has_accounts(), account_name_},
        std::move(picked));
    attempts_.push_back(attempt);
    start_task(context_.io.get_executor(), call_attempt::run(attempt, changed_));
}

/** The first attempt may be a part of a new version's share; repeats would add to it. */
version_choice call::choose_versions() const
{
    const auto now = boot_clock::now();
    return tried_.empty() ? context_.rollouts.choose(service_, context_.random, now)
                          : context_.rollouts.choose_for_repeat(service_, now);
}

/** Selects an upstream and starts an attempt at it, or passes the request on to a VM that can reach
 * one. @return false if neither is possible. */
task<bool> call::start_attempt(bool may_wait)
{
    const bool reachable = !context_.reach.unreachable(service_);
    if (!reachable && may_relay() && start_relay()) {
        co_return true;
    }
    if (!reachable && origin_ == call_origin::relay) {
        pick_failure_ = pick_failure::no_upstream;
        co_return false;
    }
    pick_request params{route_,
                        service_,
                        table_->find_service(service_),
                        estimate_,
                        choose_versions(),
                        tried_,
                        exchange_->request().received_at,
                        may_wait,
                        deadline_ - min_time_left};
    const std::shared_ptr<const bool> cancelled = finished_;
    auto result = co_await pick_upstream(context_, std::move(params), cancelled);
    search_ = result.record;
    if (result.picked && (*finished_ || time_left() < min_time_left)) {
        put_back(result);
    }
    if (result.picked && !passes_quarantine()) {
        put_back(result);
        result.failure = pick_failure::quarantined;
    }
    if (!result.picked) {
        pick_failure_ = result.failure;
        const bool unanswered = result.failure == pick_failure::no_slot && !*finished_ &&
                                result.record.answered == 0 && none_answered();
        co_return unanswered&& may_relay() && start_relay();
    }
    start(std::move(*result.picked), attempt_route::upstream);
    co_return true;
}

/** Handles ended attempts, retries and hedges until the call has its answer. */
task<> call::await_attempts()
{
    while (!*finished_) {
        if (const auto ended = pop_ended_attempt()) {
            handle_attempt_end(*ended);
            if (!*finished_ && attempts_.empty()) {
                const auto verdict = judge_repeat();
                bool repeating = verdict == repeat_verdict::allowed;
                if (repeating) {
                    if (sends_ > 0) {
                        context_.stats.repeats.Increment();
                    }
                    repeating = co_await start_attempt(true);
                }
                else {
                    log_repeat_denied(id_, service_, verdict);
                }
                if (!repeating && !*finished_) {
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
            std::max(estimate_.work_ms * hedge_work_factor,
                     static_cast<double>(route_->target_latency.count()) * hedge_target_factor)};
        const auto hedge_at =
            attempts_.front()->started() + std::chrono::duration_cast<nanoseconds>(hedge_after);
        const auto now = boot_clock::now();
        if (!hedged_ && now >= hedge_at) {
            co_await hedge();
            continue;
        }
        const auto until = hedged_ ? deadline_ : std::min(deadline_, hedge_at);
        const auto check_at = check_silence(now);
        co_await changed_->wait_for(std::min(until, check_at) - now);
    }
}

/** Ends attempts that will never be answered. @return when the next check is due; the deadline of
 * the call if none is. */
local_time call::check_silence(local_time now)
{
    auto next = deadline_;
    for (const auto& attempt : attempts_) {
        attempt->check_silence(now);
        next = std::min(next, attempt->next_silence_check(now).value_or(deadline_));
    }
    return next;
}

/** Starts a second attempt while the first is running, if the request may run twice. */
task<> call::hedge()
{
    hedged_ = true;
    if (!is_repeatable(route_->kind) || !exchange_->request().body->complete()) {
        co_return;
    }
    if (context_.quarantine.suspected(fingerprint_)) {
        log_repeat_denied(id_, service_, repeat_verdict::ended_upstream);
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
        context_.stats.hedges.Increment();
        log_hedge(id_, service_, first_upstream, waited, *attempts_.back());
    }
}

std::shared_ptr<call_attempt> call::pop_ended_attempt()
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

void call::handle_attempt_end(call_attempt& attempt)
{
    if (attempt.may_have_run()) {
        ++runs_;
    }
    sends_ += attempt.sends() - 1;
    const bool answered = attempt.end() == attempt_end::answered;
    const bool failure = answered && attempt.status() >= http_status::first_server_error;
    if (attempt.end() == attempt_end::streamed ||
        (answered && (!failure || !is_repeatable(route_->kind)))) {
        forward_answer(attempt);
        return;
    }
    log_failed_attempt(id_, fingerprint_, service_, attempt);
    if (failure) {
        failure_answer_ = attempt.shared_from_this();
    }
}

/** Whether the request may be repeated; an allowed repeat is charged to the retry budget. */
repeat_verdict call::judge_repeat()
{
    if (runs_ > 0 && !is_repeatable(route_->kind)) {
        return repeat_verdict::may_have_run;
    }
    if (!exchange_->request().body->replayable()) {
        return repeat_verdict::body_discarded;
    }
    if (sends_ >= max_sends() || tried_.size() >= max_upstreams_tried) {
        return repeat_verdict::most_sends;
    }
    if (time_left() < min_time_left) {
        return repeat_verdict::no_time;
    }
    if (context_.quarantine.verdict(fingerprint_, boot_clock::now()) ==
        quarantine_verdict::refused) {
        return repeat_verdict::ended_upstream;
    }
    if (sends_ > 0 && !context_.retry_budget_of(service_).spend(boot_clock::now(),
                                                                context_.fleet.members.size())) {
        context_.stats.repeats_denied.Increment();
        return repeat_verdict::no_budget;
    }
    return repeat_verdict::allowed;
}

void call::forward_answer(call_attempt& attempt)
{
    if (attempt.end() == attempt_end::streamed) {
        attempt.allow_streaming();
    }
    else if (origin_ == call_origin::relay) {
        auto answer = attempt.answer();
        answer.headers.add(std::string{relay_sends_header}, std::to_string(sends_));
        exchange_->respond(answer);
    }
    else {
        exchange_->respond(attempt.answer());
    }
    finish(call_end::answered, attempt.status());
}

/** Ends a call for which no upstream's answer will be received. The status must not claim that the
 * request was not executed if it may have been. */
void call::end_unanswered()
{
    if (*finished_) {
        return;
    }
    const bool any_may_have_run =
        std::ranges::any_of(attempts_, [](const auto& attempt) { return attempt->may_have_run(); });
    if (any_may_have_run || runs_ > 0) {
        if (failure_answer_) {
            forward_answer(*failure_answer_);
            return;
        }
        refuse(time_left() < min_time_left ? call_end::timed_out : call_end::failed);
        return;
    }
    if (time_left() < min_time_left) {
        refuse(call_end::expired);
    }
    else if (sends_ > 0) {
        refuse(call_end::not_run);
    }
    else {
        refuse(end_of(pick_failure_));
    }
}

/** Answers the call without an upstream. */
void call::refuse(call_end end)
{
    caller_response answer{status_of(end), {}, {}};
    if (answer.status == status_of(call_end::not_run)) {
        refused_request refused{.remaining = default_target_latency};
        if (route_ != nullptr) {
            refused = {route_->target_latency,
                       std::max(to_milliseconds(time_left()), milliseconds{0}),
                       boot_clock::now() - exchange_->request().received_at, estimate_.work_ms,
                       end == call_end::yielded};
        }
        auto delay = retry_delay(refused, context_.random);
        if (end == call_end::quarantined) {
            delay = context_.quarantine.remaining(fingerprint_, boot_clock::now());
        }
        else if (end == call_end::leaving) {
            // The other VMs can take it at once.
            delay = milliseconds{0};
        }
        answer.headers.add("Retry-After", format_retry_after(delay));
    }
    else if (end == call_end::over_quota) {
        answer.headers.add("Retry-After", format_retry_after(quota_delay_));
    }
    else if (end == call_end::unknown_account) {
        answer.headers.add("WWW-Authenticate", std::string{context_.dialect.account_scheme});
    }
    if (origin_ == call_origin::relay) {
        add_own_relay_headers(answer.headers, sends_);
    }
    exchange_->respond(answer);
    finish(end, answer.status);
}

void call::finish(call_end end, int status)
{
    if (std::exchange(*finished_, true)) {
        return;
    }
    const auto duration = boot_clock::now() - exchange_->request().received_at;
    if (!last_attempt_ && !attempts_.empty()) {
        last_attempt_ = attempts_.back();
    }
    for (const auto& attempt : std::exchange(attempts_, {})) {
        runs_ += attempt->may_have_run() ? 1 : 0;
        attempt->cancel(cause_of(end));
    }
    context_.stats.record_call(service_, route_ == nullptr ? std::string{} : route_->name, end,
                               std::chrono::duration<double>(duration).count());
    if (own_token_ && sends_ == 0) {
        context_.quotas.give_back(subject_of(account_->name), boot_clock::now());
    }
    if (account_ != nullptr) {
        context_.stats.record_account_call(account_->name, end);
    }
    log_call({id_, fingerprint_, account_name_, route_, service_, end, status, sends_, runs_,
              to_milliseconds(duration), last_attempt_.get(), search_, urgent_refused_,
              exchange_->request().received_at},
             context_.settings);
}

/** The process exits: answers the request now, as there is no later time to do so. */
void call::end_for_exit()
{
    if (*finished_) {
        return;
    }
    const bool may_have_run =
        runs_ > 0 || std::ranges::any_of(attempts_, &call_attempt::may_have_run);
    refuse(may_have_run ? call_end::cut_off : call_end::leaving);
    changed_->notify();
}

/** The caller closed its connection: closes those to the upstreams so that they stop processing. */
void call::abandon()
{
    finish(call_end::abandoned, 0);
    changed_->notify();
}

} // namespace sniperock

/** @file call_attempt.cpp One attempt to execute a request on one upstream. */
#include "call_attempt.hpp"

#include "call_log.hpp"
#include "event_type.hpp"
#include "http_write.hpp"
#include "upstream_health.hpp"

#include <algorithm>
#include <array>

namespace sniperock {
namespace {

/** Answers up to this size are buffered until complete, so that a broken one can be retried. */
constexpr std::size_t max_buffered_answer = 1U << 20U;
/** The body of an answer that is not forwarded is read up to this size to keep the connection
 * reusable. */
constexpr std::size_t max_unused_answer = 65'536;
/** Maximum wait for the rest of such a body. A new connection takes less time, and the request
 * waits meanwhile. */
constexpr milliseconds unused_answer_timeout{20};
/** Maximum wait for a connection; some hundred times the usual duration of a handshake. */
constexpr milliseconds connect_timeout{300};
/** A connection that carried an answer this recently is assumed to work. */
constexpr milliseconds proven_max_age{50};
/** Bytes of a body passed to a connection at once. */
constexpr std::size_t max_piece = 16'384;
/** More than any route allows. */
constexpr std::uint64_t max_relayed_sends = 100;
/** Interval between checks whether the caller has read the data sent so far. */
constexpr milliseconds backlog_poll_interval{2};

bool is_success(int status)
{
    return status >= http_status::ok && status < http_status::first_redirect;
}

/** True if a request states a condition under which its answer has no body. */
bool is_conditional(const http_headers& headers)
{
    return headers.find("if-none-match") || headers.find("if-modified-since");
}

} // namespace

call_attempt::call_attempt(call_context& context, attempt_params params, picked_upstream picked)
    : context_(context), params_(std::move(params)), picked_(std::move(picked)),
      connection_(picked_.connection),
      streaming_allowed_(std::make_shared<async_signal>(context.io.get_executor())),
      started_(boot_clock::now())
{
}

void call_attempt::cancel(cancel_cause cause)
{
    cancelled_ = true;
    cancel_cause_ = cause;
    if (connection_) {
        connection_->close();
    }
    streaming_allowed_->notify();
}

task<> call_attempt::run(std::shared_ptr<call_attempt> self, std::shared_ptr<async_signal> changed)
{
    self->changed_ = std::move(changed);
    const auto end = co_await self->exchange_messages();
    self->finish_attempt(end);
    self->changed_->notify();
}

/**
 * Takes an idle connection. A request that cannot be repeated is sent only on a connection that has
 * just carried an answer: others may have failed without notice. One without an id needs a new
 * connection, as its answer cannot be told from a late copy of an earlier one.
 */
void call_attempt::take_idle_connection()
{
    const auto now = boot_clock::now();
    if (params_.id.empty()) {
        return;
    }
    connection_ = context_.pool.take_idle(*picked_.target, now);
    const bool safe = is_repeatable(params_.matched_route->kind) ||
                      (connection_ && connection_->used_within(now, proven_max_age));
    if (connection_ && !safe) {
        connection_->close();
        connection_ = nullptr;
    }
}

/** Connects if necessary, sends the request and reads the answer. */
task<attempt_end> call_attempt::exchange_messages()
{
    if (connection_ && params_.id.empty()) {
        context_.pool.put_back(*picked_.target, std::exchange(connection_, nullptr),
                               boot_clock::now());
    }
    if (!connection_) {
        take_idle_connection();
    }
    if (!connection_) {
        connection_ = context_.pool.make();
        const scoped_timeout limit(context_.io.get_executor(), connect_timeout,
                                   [this] { connection_->close(); });
        const bool connected = co_await connection_->connect(picked_.target->entry.endpoint);
        unreachable_ = !connected && !cancelled_;
        if (!connected) {
            co_return cancelled_ ? attempt_end::cancelled : attempt_end::not_sent;
        }
    }
    if (cancelled_ || (!relayed() && !may_send())) {
        co_return cancelled_ ? attempt_end::cancelled : attempt_end::not_sent;
    }
    connection_->send(request_head(), params_.exchange->request().head.method == "HEAD");
    sent_ = true;
    watch_silence();
    start_task(context_.io.get_executor(), send_body(shared_from_this()));
    const auto end = co_await read_answer();
    sent_ = connection_->sent();
    if (end == attempt_end::broken && !sent_) {
        unreachable_ = !cancelled_;
        co_return cancelled_ ? attempt_end::cancelled : attempt_end::not_sent;
    }
    if (end == attempt_end::broken && silent_) {
        co_return attempt_end::silent;
    }
    co_return end == attempt_end::broken&& cancelled_ ? attempt_end::cancelled : end;
}

/** Whether a header of the caller is sent on. */
bool call_attempt::is_forwarded(std::string_view header) const
{
    const auto& dialect = context_.dialect;
    const std::array own{dialect.deadline_ms, dialect.expected_upstream, dialect.account,
                         relay_attempts_header, std::string_view{"expect"}};
    const auto is_header = [header](std::string_view name) {
        return equal_ignoring_case(header, name);
    };
    return std::ranges::none_of(own, is_header) &&
           !(params_.with_accounts && is_header("authorization"));
}

/** The registry, the operator or a roll-out may exclude the upstream since it was selected. */
bool call_attempt::may_send() const
{
    const auto& target = *picked_.target;
    return context_.registry.usable(target) &&
           context_.rollouts.may_send(target.entry, boot_clock::now());
}

/** Begins to compare the upstream's load reports with the request. One whose body is still being
 * sent may be counted by the upstream only at its end. */
void call_attempt::watch_silence()
{
    if (relayed() || !body_sent_ || !picked_.target->report) {
        return;
    }
    const double expected_ms =
        context_.estimates.for_route(*params_.matched_route).work_ms * picked_.basis.slowness;
    silence_.emplace(boot_clock::now(), expected_ms);
}

bool call_attempt::awaits_answer() const
{
    return silence_ && !end_ && !silent_ && !cancelled_ && !connection_->response_started();
}

void call_attempt::check_silence(local_time now)
{
    if (!awaits_answer()) {
        return;
    }
    switch (silence_->judge(*picked_.target, now)) {
    case silence_verdict::silent:
        silent_ = true;
        connection_->close();
        break;
    case silence_verdict::look:
        if (context_.may_probe(now)) {
            probe_target();
        }
        break;
    case silence_verdict::waiting:
        break;
    }
}

std::optional<local_time> call_attempt::next_silence_check(local_time now) const
{
    if (!awaits_answer()) {
        return std::nullopt;
    }
    return std::max(silence_->first_check(), now + silence_check_interval);
}

/** The head of the request, followed by the body if that is complete and short. */
std::string call_attempt::request_head()
{
    const auto& request = params_.exchange->request();
    const auto& dialect = context_.dialect;
    std::string bytes;
    append_request_line(bytes, request.head.method, request.head.target);
    append_end_to_end_headers(bytes, request.head.headers,
                              [this](std::string_view name) { return is_forwarded(name); });
    const auto left =
        std::chrono::duration_cast<milliseconds>(params_.deadline - boot_clock::now());
    append_header(bytes, dialect.deadline_ms,
                  std::to_string(std::max<std::int64_t>(left.count(), 1)));
    if (!params_.account.empty()) {
        append_header(bytes, dialect.account, params_.account);
    }
    if (relayed()) {
        append_header(bytes, relay_attempts_header, std::to_string(params_.sends_left));
        if (params_.with_accounts) {
            append_header(bytes, relay_admitted_header, relay_admitted_value);
        }
    }
    else {
        append_header(bytes, dialect.expected_upstream, picked_.target->entry.id);
    }
    const auto& body = *request.body;
    chunked_body_ = !body.complete() && request.head.framing != body_framing::length;
    if (chunked_body_) {
        append_header(bytes, "Transfer-Encoding", "chunked");
    }
    else if (request.head.framing != body_framing::none) {
        append_header(bytes, "Content-Length",
                      std::to_string(body.complete() ? body.received() : request.head.body_length));
    }
    bytes += "\r\n";
    if (body.complete() && body.received() <= max_piece) {
        bytes += body.from(0);
        body_sent_ = true;
    }
    return bytes;
}

/** Sends the body on while it arrives, no faster than the upstream reads. */
task<> call_attempt::send_body(std::shared_ptr<call_attempt> self)
{
    if (!self->body_sent_) {
        co_await self->send_body_pieces();
    }
}

task<> call_attempt::send_body_pieces()
{
    const auto body = params_.exchange->request().body;
    const auto connection = connection_;
    body_received_ = std::make_shared<async_signal>(context_.io.get_executor());
    // The handler ends with this attempt, which may be after another one has set its own.
    const auto handler = body->on_received([signal = body_received_] { signal->notify(); });
    std::size_t sent = 0;
    const auto active = [&] { return !end_ && !cancelled_ && connection->is_open(); };
    while (active()) {
        if (!connection->flushed()) {
            co_await sleep_for(backlog_poll_interval);
            continue;
        }
        const auto piece = body->from(sent).substr(0, max_piece);
        if (!piece.empty()) {
            send_piece(piece);
            sent += piece.size();
            body->release(sent);
            continue;
        }
        if (body->complete()) {
            if (chunked_body_) {
                connection->send_more(last_chunk);
            }
            body_sent_ = true;
            break;
        }
        co_await body_received_->wait_for(params_.deadline - boot_clock::now());
        if (boot_clock::now() >= params_.deadline) {
            break;
        }
    }
}

void call_attempt::send_piece(std::string_view piece)
{
    if (!chunked_body_) {
        connection_->send_more(piece);
        return;
    }
    auto bytes = chunk_size_line(piece.size());
    bytes += piece;
    bytes += chunk_suffix;
    connection_->send_more(bytes);
}

task<attempt_end> call_attempt::read_answer()
{
    auto progress = co_await connection_->read_head(context_.dialect.attempt_id, params_.id);
    if (progress == read_progress::broken) {
        co_return attempt_end::broken;
    }
    const auto verdict = classify_head();
    if (verdict == attempt_end::broken) {
        co_return verdict;
    }
    if (verdict != attempt_end::answered) {
        co_await skip_unused_body(progress);
        co_return verdict;
    }
    while (progress == read_progress::incomplete) {
        progress = co_await connection_->read_body(answer_.body);
        if (answer_.body.size() > max_buffered_answer) {
            const auto end = co_await stream_answer();
            co_return end;
        }
    }
    answer_complete_ = progress == read_progress::complete;
    co_return answer_complete_ ? verdict : attempt_end::broken;
}

/** Discards a short body so that the connection can be reused; does not wait for a longer one. */
task<> call_attempt::skip_unused_body(read_progress progress)
{
    const scoped_timeout guard(context_.io.get_executor(), unused_answer_timeout,
                               [this] { connection_->close(); });
    std::string discarded;
    while (progress == read_progress::incomplete && connection_->received() <= max_unused_answer) {
        discarded.clear();
        progress = co_await connection_->read_body(discarded);
    }
}

/** Evaluates what another VM says of a request that it was asked to send. @return how the attempt
 * ends if the answer is the VM's own; empty if it is that of an upstream. */
std::optional<attempt_end> call_attempt::classify_relay(http_head& head)
{
    const auto sends = head.headers.find(relay_sends_header);
    if (const auto count = sends ? parse_unsigned(*sends) : std::nullopt) {
        relayed_sends_ = static_cast<int>(std::min<std::uint64_t>(*count, max_relayed_sends));
    }
    if (!head.headers.find(relay_own_header)) {
        return std::nullopt;
    }
    // Its other answers, also those that no VM gives, do not say that the request has not run.
    const bool refused = head.status == http_status::unavailable ||
                         (head.status >= http_status::first_client_error &&
                          head.status < http_status::first_server_error);
    return refused ? attempt_end::not_executed : attempt_end::broken;
}

/** Evaluates the head of the answer; stores the status and headers if it can be forwarded. */
attempt_end call_attempt::classify_head()
{
    auto& head = connection_->head();
    const auto& dialect = context_.dialect;
    const auto now = boot_clock::now();
    handle_response(*picked_.target, now);
    if (relayed()) {
        if (const auto end = classify_relay(head)) {
            return *end;
        }
    }
    else {
        context_.prober.apply_headers(*picked_.target, head.headers, now);
    }
    // An upstream must not speak for this VM.
    std::erase_if(head.headers.lines(), [](const http_header& line) {
        return equal_ignoring_case(line.name, relay_sends_header) ||
               equal_ignoring_case(line.name, relay_own_header);
    });
    if (head.status == http_status::misdirected) {
        return attempt_end::misdirected;
    }
    if (head.headers.find(dialect.not_executed)) {
        // A refusal need not repeat the limit, so that one without it does not end it.
        if (!relayed() && head.headers.find(dialect.limit)) {
            context_.prober.apply_limit(*picked_.target, head.headers, limit_source::answer,
                                        started_);
        }
        return attempt_end::not_executed;
    }
    const auto echoed = head.headers.find(dialect.attempt_id);
    const bool signed_answer = head.headers.find(dialect.signature).has_value();
    // Without a condition, "not modified" is no answer: the caller would take its empty body for
    // all.
    const bool unasked = head.status == http_status::not_modified &&
                         !is_conditional(params_.exchange->request().head.headers);
    const bool invalid = head.headers.find("content-encoding") || unasked ||
                         (is_success(head.status) && (!signed_answer || !echoed));
    if (invalid) {
        return attempt_end::broken;
    }
    if (!relayed()) {
        context_.prober.apply_limit(*picked_.target, head.headers, limit_source::answer, started_);
    }
    answer_.status = head.status;
    answer_.headers = head.headers;
    head_accepted_ = true;
    return attempt_end::answered;
}

/** Streams a large answer to the caller, no faster than the caller reads. */
task<attempt_end> call_attempt::stream_answer()
{
    end_ = attempt_end::streamed;
    changed_->notify();
    co_await streaming_allowed_->wait_for(params_.deadline - boot_clock::now());
    if (cancelled_) {
        // Another attempt uses the exchange now, or the caller closed it.
        co_return attempt_end::cancelled;
    }
    const auto& exchange = params_.exchange;
    exchange->on_abandoned([self = shared_from_this()] { self->cancel(); });
    const auto& head = connection_->head();
    exchange->begin(answer_, head.framing, head.body_length);
    exchange->append(std::exchange(answer_.body, {}));
    // A body without end could continue past the deadline; streaming stops there.
    const scoped_timeout guard(context_.io.get_executor(), params_.deadline - boot_clock::now(),
                               [this] { connection_->close(); });
    auto progress = read_progress::incomplete;
    while (progress == read_progress::incomplete && !exchange->abandoned()) {
        std::string chunk;
        progress = co_await connection_->read_body(chunk);
        exchange->append(chunk);
        while (exchange->backlogged() && boot_clock::now() < params_.deadline) {
            co_await sleep_for(backlog_poll_interval);
        }
    }
    answer_complete_ = progress == read_progress::complete;
    if (answer_complete_) {
        exchange->finish();
    }
    else if (!exchange->abandoned()) {
        end_stream(boot_clock::now() < params_.deadline ? call_end::failed : call_end::timed_out);
    }
    co_return attempt_end::streamed;
}

/** Ends a streamed answer that is incomplete. While answers to earlier requests of the connection
 * are due, nothing of it has been written, and it is replaced; otherwise it is cut off. */
void call_attempt::end_stream(call_end reason)
{
    caller_response answer{status_of(reason), {}, {}};
    if (params_.origin == call_origin::relay) {
        add_own_relay_headers(answer.headers, params_.sends);
    }
    const bool replaced = params_.exchange->replace(answer);
    if (!replaced) {
        params_.exchange->truncate();
    }
    log_incomplete_answer(params_.id, params_.service, picked_.target->entry.id, reason,
                          replaced ? answer.status : 0);
}

/** Tells apart requests that were answered and those that may have ended their upstream. */
void call_attempt::record_run(attempt_end end, local_time now)
{
    if (answer_complete_) {
        context_.quarantine.record_answer(params_.fingerprint, now);
        return;
    }
    const bool unanswered = end == attempt_end::broken || end == attempt_end::streamed;
    if (!unanswered || cancelled_ || relayed() || !connection_->lost()) {
        return;
    }
    if (handle_lost_run(*picked_.target, params_.fingerprint, context_.quarantine, now)) {
        // Whether the process has ended is found out at once, as the next request may end another.
        probe_target();
    }
}

/** Counts how the request ended for the upstream's version. What callers, this VM or the network
 * caused before the request ran is no evidence. */
void call_attempt::record_version(attempt_end end, local_time now)
{
    if (relayed() || !sent_) {
        return;
    }
    rollout_outcome outcome;
    bool is_timed = false;
    switch (end) {
    case attempt_end::answered:
        outcome.failed = answer_.status >= http_status::first_server_error;
        is_timed = is_success(answer_.status);
        break;
    case attempt_end::broken:
        outcome.failed = true;
        break;
    case attempt_end::streamed:
        outcome.failed = !answer_complete_;
        if (outcome.failed && (params_.exchange->abandoned() || now >= params_.deadline)) {
            return;
        }
        break;
    case attempt_end::cancelled:
        if (cancel_cause_ == cancel_cause::unneeded) {
            return;
        }
        outcome.failed = cancel_cause_ == cancel_cause::late;
        is_timed = true;
        break;
    default:
        return;
    }
    if (is_timed && !picked_.basis.cold) {
        const std::chrono::duration<double, std::milli> took = now - started_;
        outcome.time_ms = took.count() / std::max(picked_.basis.slowness, 1.0);
    }
    context_.rollouts.record(picked_.target->entry, params_.matched_route->name, outcome, now);
}

/** Counts what was sent to the upstream's failure domain, and whether that failed. */
void call_attempt::record_domain(attempt_end end, local_time now)
{
    if (relayed()) {
        return;
    }
    const auto& domain = picked_.target->entry.failure_domain;
    if (sent_) {
        context_.stats.record_domain(params_.service, domain == context_.settings.failure_domain,
                                     params_.exchange->request().body->received() +
                                         connection_->received());
    }
    if (end == attempt_end::cancelled) {
        return;
    }
    const bool failed =
        !(end == attempt_end::answered || end == attempt_end::streamed) ||
        (end == attempt_end::answered && answer_.status >= http_status::first_server_error);
    context_.domains.record_end(params_.service, domain, failed, now);
}

/** Probes the upstream; nothing waits for the answer. */
void call_attempt::probe_target()
{
    const auto table = context_.routes.table();
    const auto* service = table ? table->find_service(params_.service) : nullptr;
    const auto round = std::make_shared<probe_round>(context_.io.get_executor());
    round->closed = true;
    context_.prober.start(round, picked_.target,
                          service == nullptr ? default_health_path : service->health_path);
}

/** Releases the slot and the connection and updates the state of the upstream. */
void call_attempt::finish_attempt(attempt_end end)
{
    auto& target = *picked_.target;
    const auto now = boot_clock::now();
    end_ = end;
    release_slot(target);
    context_.stats.record_attempt(params_.service, end);
    const bool connection_intact = end == attempt_end::answered ||
                                   end == attempt_end::not_executed ||
                                   end == attempt_end::misdirected || end == attempt_end::streamed;
    // The rest of a body must not reach the connection's next request.
    if (connection_ && connection_intact && body_sent_) {
        context_.pool.put_back(target, connection_, now);
    }
    else if (connection_) {
        connection_->close();
    }
    record_run(end, now);
    record_version(end, now);
    record_domain(end, now);
    switch (end) {
    case attempt_end::answered:
        answer_.status >= http_status::first_server_error ? target.failures.record_failure(now)
                                                          : target.failures.record_success(now);
        break;
    case attempt_end::broken:
    case attempt_end::silent:
        target.failures.record_failure(now);
        break;
    case attempt_end::not_sent:
        // The upstream may instead have just become unusable, which does not indicate a fault.
        if (unreachable_) {
            handle_no_response(target, connection_->refused(), now);
            if (connection_->refused() && !relayed()) {
                handle_process_end(target, context_.quarantine, now);
            }
        }
        break;
    case attempt_end::misdirected:
        if (relayed()) {
            break;
        }
        context_.registry.mark_removed(target);
        log_event(event::upstream_replaced,
                  {{"upstream", target.entry.id}, {"service", target.entry.service}});
        break;
    default:
        break;
    }
    if (end == attempt_end::answered && is_success(answer_.status) && !relayed()) {
        const std::chrono::duration<double, std::milli> took = now - started_;
        context_.estimates.update(*params_.matched_route, took.count(), picked_.basis.slowness,
                                  static_cast<double>(answer_.body.size()));
    }
}

} // namespace sniperock

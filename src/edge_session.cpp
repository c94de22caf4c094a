/** @file edge_session.cpp One caller's connection, from accept to close. */
#include "edge_session.hpp"
#include "event_type.hpp"
#include "http_write.hpp"

#include <charconv>
#include <ranges>

namespace sniperock {
namespace {

/** Bytes of following calls that are kept while one runs. */
constexpr std::size_t max_pending_bytes = 65'536;
/** When to come back after a refusal for want of room. */
constexpr milliseconds retry_after_refusal{1000};
/** How long a closing connection waits for the caller to close its side. */
constexpr milliseconds linger_time{1000};

std::optional<milliseconds> parse_timeout(std::string_view text)
{
    constexpr std::int64_t day_ms = 86'400'000;
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size() || value <= 0 || value > day_ms) {
        return std::nullopt;
    }
    return milliseconds{value};
}

std::string_view path_of(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

/** The value of @p name in the query of @p target; empty if absent. */
std::string_view query_value(std::string_view target, std::string_view name)
{
    const auto start = target.find('?');
    if (start == std::string_view::npos) {
        return {};
    }
    for (const auto part : std::views::split(target.substr(start + 1), '&')) {
        const std::string_view field(part.begin(), part.end());
        if (field.size() > name.size() && field.starts_with(name) && field[name.size()] == '=') {
            return field.substr(name.size() + 1);
        }
    }
    return {};
}

refused_input kind_of(const http_syntax_error& fault)
{
    if (fault.status() == head_too_long_status) {
        return refused_input::head_too_long;
    }
    return fault.status() == version_status ? refused_input::version : refused_input::malformed;
}

} // namespace

edge_session::edge_session(edge_stream stream, edge_context& context)
    : stream_(std::move(stream)), context_(context),
      parser_(http_side::request, context.parts.limits.max_header_bytes),
      time_limit_(boot_clock::now() + context.parts.limits.header_timeout)
{
}

void edge_session::start()
{
    watch_input();
}

void edge_session::refuse_connection()
{
    refuse(http_status::service_unavailable, edge_reason::connection_limit, refused_input::limit);
}

void edge_session::close()
{
    if (std::exchange(closed_, true)) {
        return;
    }
    stream_.close();
    context_.parts.counters.connections.fetch_sub(1, std::memory_order_relaxed);
    if (const auto call = call_) {
        call->caller_gone();
    }
}

void edge_session::close_if_late(local_time now)
{
    if (call_ || now <= time_limit_) {
        return;
    }
    if (!lingering_ && parser_.started()) {
        constexpr int request_timeout = 408;
        refuse(request_timeout, edge_reason::malformed, refused_input::slow);
        return;
    }
    if (!lingering_) {
        context_.parts.measured.refused(refused_input::idle);
    }
    close();
}

void edge_session::close_if_idle()
{
    if (!call_ && !parser_.started() && stream_.flushed()) {
        close();
    }
}

void edge_session::watch_input()
{
    if (watching_ || closed_) {
        return;
    }
    watching_ = true;
    stream_.wait_read([self = shared_from_this()](const asio::error_code& error) {
        self->watching_ = false;
        if (!self->closed_ && !error) {
            self->on_input();
        }
    });
}

void edge_session::on_input()
{
    asio::error_code error;
    const auto size = stream_.read(context_.caller_input, error);
    if (error) {
        // The caller went away, or closed its side, which counts as the same.
        close();
        return;
    }
    const std::string_view data{context_.caller_input.data(), size};
    ++busy_;
    if (call_) {
        feed_body(data);
    }
    else if (!pending_.empty() || !stream_.flushed()) {
        pending_.append(data);
    }
    else if (!lingering_) {
        process(data);
    }
    leave();
}

/** Ends a stretch of work that must not be entered twice, and does what came up meanwhile. */
void edge_session::leave()
{
    if (--busy_ > 0 || closed_) {
        return;
    }
    if (!call_ && !lingering_ && stream_.flushed() && !pending_.empty()) {
        const auto held = std::exchange(pending_, {});
        ++busy_;
        process(held);
        --busy_;
    }
    if (pending_.size() < max_pending_bytes) {
        watch_input();
    }
}

/** Parses heads and starts their calls until one runs or the input ends. */
void edge_session::process(std::string_view data)
{
    std::string held;
    try {
        while (!data.empty() && !call_ && !closed_ && !lingering_ && stream_.flushed()) {
            if (!parser_.started()) {
                time_limit_ = boot_clock::now() + context_.parts.limits.header_timeout;
            }
            data.remove_prefix(parser_.feed(data));
            if (!parser_.head_complete()) {
                continue;
            }
            pending_.assign(data);
            take_head();
            held = std::exchange(pending_, {});
            data = held;
        }
    }
    catch (const http_syntax_error& fault) {
        refuse_malformed(fault);
        return;
    }
    pending_.assign(data);
}

void edge_session::take_head()
{
    const auto& head = parser_.head();
    keep_open_ = head.keep_alive;
    body_bytes_ = 0;
    expects_continue_ = false;
    if (path_of(head.target) == "/locate") {
        handle_locate(*context_.router());
        return;
    }
    if (body_allowed()) {
        handle_call();
    }
}

bool edge_session::body_allowed()
{
    const auto& head = parser_.head();
    if (head.body_length > context_.parts.limits.max_body_bytes) {
        refuse(http_status::payload_too_large, edge_reason::body_too_large,
               refused_input::body_too_large);
        return false;
    }
    if (const auto expectation = head.headers.find("expect")) {
        if (!equal_ignoring_case(*expectation, "100-continue")) {
            refuse(http_status::expectation_failed, edge_reason::unknown_expectation);
            return false;
        }
        expects_continue_ = !parser_.message_complete();
    }
    return true;
}

void edge_session::handle_locate(const edge_router& router)
{
    const std::string target = parser_.head().target;
    const auto service = query_value(target, "service");
    if (router.service_named(service) == nullptr) {
        refuse(http_status::not_found, edge_reason::unknown_service);
        return;
    }
    const auto answer = context_.parts.locator.answer(service, query_value(target, "near"));
    if (!answer) {
        refuse(http_status::service_unavailable, edge_reason::no_entry_vms);
        return;
    }
    http_headers headers;
    headers.add("Content-Type", "application/json");
    headers.add("Cache-Control", "no-store");
    write_answer(http_status::ok, headers, *answer);
    next_request();
}

/** Finds the plan of the request's key; the last one is remembered. */
bool edge_session::find_plan(const std::shared_ptr<const edge_router>& router)
{
    const auto key = parser_.head().headers.find(edge_header::key);
    if (!key) {
        return false;
    }
    if (plan_ != nullptr && router_ == router && key_ == *key) {
        return true;
    }
    plan_ = router->find_plan(*key);
    router_ = router;
    key_ = *key;
    series_ = plan_ == nullptr ? nullptr : &context_.parts.measured.of_plan(plan_->name);
    return plan_ != nullptr;
}

void edge_session::handle_call()
{
    const auto& router = context_.router();
    const auto& head = parser_.head();
    if (!find_plan(router)) {
        refuse(http_status::unauthorized, edge_reason::unknown_key);
        return;
    }
    const auto host = head.headers.find("host").value_or("");
    const auto* service = router->find_service(host, head.target);
    if (service == nullptr) {
        refuse(http_status::not_found, edge_reason::unknown_service);
        return;
    }
    const auto& limits = context_.parts.limits;
    const auto timeout_text = head.headers.find(edge_header::timeout);
    const auto timeout = timeout_text ? parse_timeout(*timeout_text) : limits.default_deadline;
    if (!timeout) {
        refuse(http_status::bad_request, edge_reason::malformed_timeout);
        return;
    }
    const auto now = boot_clock::now();
    call_request request{{service->name,
                          plan_->name,
                          classify(head.method),
                          now + std::min(*timeout, limits.max_deadline),
                          {}},
                         series_,
                         &context_.latency_of(service->name),
                         service->servers.size(),
                         now};
    call_ = std::make_shared<edge_call>(*this, context_, std::move(request));
    const auto call = call_;
    call->start();
}

/** Takes input that came while a call runs; keeps what the call does not want yet. */
void edge_session::feed_body(std::string_view data)
{
    try {
        while (!data.empty() && pending_.empty() && call_ && !parser_.message_complete() &&
               call_->wants_body()) {
            data.remove_prefix(parser_.feed(data));
            hand_over_body();
        }
    }
    catch (const http_syntax_error& fault) {
        refuse_malformed(fault);
        return;
    }
    pending_.append(data);
}

void edge_session::hand_over_body()
{
    const auto call = call_;
    for (const auto piece : parser_.body()) {
        body_bytes_ += piece.size();
    }
    if (body_bytes_ > context_.parts.limits.max_body_bytes) {
        context_.parts.measured.refused(refused_input::body_too_large);
        keep_open_ = false;
        call->refuse({http_status::payload_too_large, to_name(edge_reason::body_too_large),
                      call_outcome::not_run, milliseconds{0}});
        return;
    }
    call->take_body(parser_.body(), parser_.message_complete());
}

void edge_session::pump_body()
{
    if (closed_ || !call_) {
        return;
    }
    ++busy_;
    const auto held = std::exchange(pending_, {});
    feed_body(held);
    leave();
}

void edge_session::allow_body()
{
    if (std::exchange(expects_continue_, false) && body_bytes_ == 0) {
        constexpr std::string_view go_on = "HTTP/1.1 100 Continue\r\n\r\n";
        write({&go_on, 1});
    }
}

bool edge_session::write(std::span<const std::string_view> parts)
{
    asio::error_code error;
    stream_.write(parts, error);
    if (error) {
        return false;
    }
    await_flush();
    return true;
}

void edge_session::await_flush()
{
    if (flushing_ || closed_ || stream_.flushed()) {
        return;
    }
    flushing_ = true;
    stream_.wait_write([self = shared_from_this()](const asio::error_code& error) {
        self->flushing_ = false;
        if (self->closed_) {
            return;
        }
        asio::error_code fault = error;
        if (!fault) {
            self->stream_.flush(fault);
        }
        if (fault) {
            self->close();
            return;
        }
        self->time_limit_ = boot_clock::now() + self->context_.parts.limits.stall_timeout;
        self->await_flush();
        if (self->stream_.flushed()) {
            self->drained();
        }
    });
}

/** The caller took everything that was written. */
void edge_session::drained()
{
    if (const auto call = call_) {
        call->caller_drained();
        return;
    }
    ++busy_;
    if (!keep_open_) {
        finish_connection();
    }
    leave();
}

void edge_session::call_done(bool whole)
{
    const auto ended = std::exchange(call_, nullptr);
    if (!whole) {
        close();
        return;
    }
    ++busy_;
    next_request();
    leave();
}

void edge_session::next_request()
{
    if (closed_) {
        return;
    }
    if (!parser_.message_complete() || !keep_open_) {
        keep_open_ = false;
        finish_connection();
        return;
    }
    const auto& limits = context_.parts.limits;
    parser_.reset();
    time_limit_ =
        boot_clock::now() + (stream_.flushed() ? limits.idle_timeout : limits.stall_timeout);
    if (stream_.flushed()) {
        stream_.release_memory();
    }
}

/** Sends the end of the stream and waits for the caller's, so that the answer is not lost. */
void edge_session::finish_connection()
{
    if (lingering_ || !stream_.flushed()) {
        return;
    }
    lingering_ = true;
    std::string{}.swap(pending_);
    time_limit_ = boot_clock::now() + linger_time;
    stream_.shutdown_send();
}

void edge_session::refuse_malformed(const http_syntax_error& fault)
{
    if (context_.may_log()) {
        log_event(event::caller_refused, {{"reason", fault.what()}});
    }
    keep_open_ = false;
    if (const auto call = call_) {
        context_.parts.measured.refused(kind_of(fault));
        call->refuse({fault.status(), to_name(edge_reason::malformed), call_outcome::not_run,
                      milliseconds{0}});
        return;
    }
    refuse(fault.status(), edge_reason::malformed, kind_of(fault));
}

void edge_session::refuse(int status, edge_reason reason, refused_input kind)
{
    context_.parts.measured.refused(kind);
    keep_open_ = false;
    refuse(status, reason);
}

void edge_session::refuse(int status, edge_reason reason)
{
    context_.parts.counters.not_run.fetch_add(1, std::memory_order_relaxed);
    const bool may_help = status == http_status::service_unavailable;
    write_local({status, to_name(reason), call_outcome::not_run,
                 may_help ? retry_after_refusal : milliseconds{0}});
    next_request();
}

void edge_session::write_local(const local_answer& answer)
{
    http_headers headers;
    headers.add(edge_header::outcome, std::string{to_name(answer.outcome)});
    headers.add(edge_header::reason, std::string{answer.reason});
    if (answer.retry_after.count() > 0) {
        const auto whole = std::chrono::ceil<seconds>(answer.retry_after);
        headers.add(edge_header::retry_after, std::to_string(whole.count()));
    }
    write_answer(answer.status, headers, {});
}

void edge_session::write_answer(int status, const http_headers& headers, std::string_view body)
{
    if (!parser_.message_complete()) {
        keep_open_ = false;
    }
    auto& out = context_.caller_output;
    out.clear();
    append_status_line(out, status);
    append_end_to_end_headers(out, headers);
    append_framing(out, body_framing::length, body.size());
    if (closing_after_call()) {
        append_header(out, "Connection", "close");
    }
    out.append("\r\n").append(body);
    const std::string_view whole{out};
    if (!write({&whole, 1})) {
        close();
    }
    out.clear();
}

} // namespace sniperock

/** @file edge_attempt.cpp One attempt at a call on one server. */
#include "edge_attempt.hpp"
#include "edge_call.hpp"

namespace sniperock {
namespace {

constexpr int first_final_status = 200;

} // namespace

edge_attempt::edge_attempt(edge_call& call, edge_context& context, held_slot slot)
    : call_(&call), context_(context), slot_(std::move(slot)), started_(boot_clock::now())
{
}

void edge_attempt::open(milliseconds proven_within)
{
    connection_ = context_.pool.take_idle(slot(), started_ - proven_within);
    if (connection_ && connection_->stream.has_input()) {
        // Closed by the server, or bytes that belong to no call.
        connection_->set_input_handler({});
        connection_->stream.close();
        connection_ = nullptr;
    }
    reused_ = connection_ != nullptr;
    if (reused_) {
        connected_now();
        return;
    }
    connect();
}

void edge_attempt::connect()
{
    connection_ = context_.pool.make_connection();
    connect_timer_ =
        context_.timers.add(boot_clock::now() + context_.parts.limits.connect_timeout, [this] {
            const auto self = shared_from_this();
            const auto call = call_->shared_from_this();
            call->attempt_failed(*this, "connect timeout");
        });
    try {
        const auto& endpoint = context_.pool.endpoint_of(slot());
        connection_->stream.socket().async_connect(
            endpoint, [self = shared_from_this(), at = connection_](const asio::error_code& error) {
                if (self->ended_ || self->connection_ != at) {
                    return;
                }
                const auto call = self->call_->shared_from_this();
                self->context_.timers.cancel(self->connect_timer_);
                asio::error_code fault = error;
                if (!fault) {
                    at->stream.prepare(fault);
                }
                if (fault) {
                    call->attempt_failed(*self, "connect: " + fault.message());
                    return;
                }
                self->connected_now();
            });
    }
    catch (const std::system_error& fault) {
        call_->attempt_failed(*this, fault.what());
    }
}

void edge_attempt::connected_now()
{
    connected_ = true;
    connection_->parser.reset(call_->is_head_request());
    connection_->set_input_handler([this] { on_input(); });
    call_->attempt_connected(*this);
    if (!ended_) {
        connection_->watch();
    }
}

void edge_attempt::send(std::span<const std::string_view> parts)
{
    if (request_broken_ || ended_) {
        return;
    }
    asio::error_code error;
    const auto taken = connection_->stream.write(parts, error);
    written_ = written_ || taken > 0;
    if (error) {
        // The server may have answered before it closed: what it sent is still read.
        request_broken_ = true;
        connection_->watch();
        return;
    }
    await_flush();
}

void edge_attempt::await_flush()
{
    if (flushing_ || !backlogged()) {
        return;
    }
    flushing_ = true;
    connection_->stream.wait_write(
        [self = shared_from_this(), at = connection_](const asio::error_code& error) {
            if (self->ended_ || self->connection_ != at) {
                return;
            }
            const auto call = self->call_->shared_from_this();
            self->flushing_ = false;
            asio::error_code fault = error;
            if (!fault) {
                self->written_ = true;
                at->stream.flush(fault);
            }
            if (fault) {
                self->request_broken_ = true;
                return;
            }
            self->await_flush();
            if (!self->backlogged()) {
                call->attempt_drained();
            }
        });
}

void edge_attempt::resume_reading()
{
    if (!ended_ && connected_) {
        connection_->watch();
    }
}

void edge_attempt::on_input()
{
    const auto self = shared_from_this();
    if (ended_) {
        return;
    }
    const auto call = call_->shared_from_this();
    asio::error_code error;
    const auto size = connection_->stream.read(context_.upstream_input, error);
    if (error) {
        peer_closed_ = true;
        end_of_input();
        return;
    }
    if (size == 0) {
        connection_->watch();
        return;
    }
    heard_ = true;
    try {
        parse({context_.upstream_input.data(), size});
    }
    catch (const http_syntax_error& fault) {
        if (!ended_) {
            call->attempt_failed(*this, fault.what());
        }
    }
}

void edge_attempt::parse(std::string_view data)
{
    auto& parser = connection_->parser;
    while (!data.empty() && !parser.message_complete()) {
        data.remove_prefix(parser.feed(data));
        if (parser.head_complete() && !head_taken_ && !take_head()) {
            return;
        }
        if (!parser.body().empty()) {
            call_->attempt_body(parser.body());
        }
        if (ended_) {
            return;
        }
    }
    if (parser.message_complete() && head_taken_) {
        whole_ = true;
        crossed_ = !data.empty();
        call_->attempt_complete(*this);
        return;
    }
    call_->answer_goes_on();
    if (!ended_ && !call_->caller_backlogged()) {
        connection_->watch();
    }
}

/** Passes a final head on and skips an interim one. @return false if the attempt ended. */
bool edge_attempt::take_head()
{
    if (head().status < first_final_status) {
        connection_->parser.reset(call_->is_head_request());
        return true;
    }
    head_taken_ = true;
    head_at_ = boot_clock::now();
    call_->attempt_head(*this);
    return !ended_;
}

void edge_attempt::end_of_input()
{
    auto& parser = connection_->parser;
    const bool until_close =
        parser.head_complete() && head_taken_ && head().framing == body_framing::until_close;
    if (!until_close) {
        call_->attempt_failed(*this, "connection closed");
        return;
    }
    connection_->parser.finish();
    whole_ = true;
    call_->attempt_complete(*this);
}

void edge_attempt::distrust_server()
{
    context_.pool.distrust_before(slot().server, started_);
}

void edge_attempt::end(call_result result)
{
    if (ended_) {
        return;
    }
    ended_ = true;
    context_.timers.cancel(connect_timer_);
    const auto until = head_taken_ ? head_at_ : boot_clock::now();
    call_report report{result, until - started_, std::nullopt};
    if (connection_ && connected_ && head_taken_) {
        if (const auto load = head().headers.find(edge_header::load)) {
            report.load = parse_load(*load);
        }
    }
    if (server_may_run()) {
        context_.abandoned.add(std::move(connection_), slot_.pass_on(), report, call_->deadline());
        return;
    }
    keep_or_close();
    slot_.finish(report);
}

bool edge_attempt::server_may_run() const
{
    return connection_ && connected_ && written_ && !whole_ && !peer_closed_ &&
           connection_->stream.is_open() && boot_clock::now() < call_->deadline();
}

void edge_attempt::keep_or_close()
{
    if (!connection_) {
        return;
    }
    connection_->set_input_handler({});
    const bool keep = whole_ && !crossed_ && request_done() && !backlogged() && head().keep_alive;
    if (keep) {
        context_.pool.put_back(slot().server, std::move(connection_), boot_clock::now());
    }
    else {
        connection_->stream.close();
    }
}

} // namespace sniperock

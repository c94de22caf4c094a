/** @file standin_session.cpp One connection of a stand-in server. */
#include "standin_session.hpp"
#include "edge_type.hpp"
#include "finding_type.hpp"
#include "http_write.hpp"
#include "standin_control.hpp"
#include "standin_pattern.hpp"

#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>
#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <array>
#include <charconv>
#include <ranges>
#include <sstream>

namespace sniperock {
namespace {

constexpr std::size_t read_bytes = 16'384;
constexpr std::size_t max_head_bytes = 65'536;
constexpr std::size_t max_page_body_bytes = 4'194'304;
constexpr std::size_t stream_block_bytes = 65'536;
constexpr std::size_t listed_ids = 100;
constexpr int http_ok = 200;
constexpr int http_partial = 206;
constexpr int http_bad_request = 400;
constexpr int http_bad_range = 416;
constexpr int http_server_error = 500;
constexpr int http_unavailable = 503;
constexpr int http_timeout = 504;

/** The connection is to be closed without a further answer. */
struct connection_broken : std::exception {};

std::optional<wall_time> parse_deadline(std::string_view text)
{
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return from_unix_us(value);
}

std::string findings_page(const std::string& findings)
{
    return nlohmann::json{{"findings", findings}}.dump();
}

/** Tells which of the request ids, one a line, ran. */
std::string ran_page(const std::string& ids, const run_ledger& ledger)
{
    std::istringstream lines(ids);
    nlohmann::json listed = nlohmann::json::array();
    std::size_t ran = 0;
    std::size_t asked = 0;
    for (std::string id; std::getline(lines, id);) {
        ++asked;
        if (ledger.runs_of(id) == 0) {
            continue;
        }
        ++ran;
        if (listed.size() < listed_ids) {
            listed.push_back(id);
        }
    }
    return nlohmann::json{{"asked", asked}, {"ran", ran}, {"ids", std::move(listed)}}.dump();
}

/** Digest of a body that arrives in pieces. */
class body_hasher {
public:
    void add(std::string_view piece)
    {
        if (!state_) {
            state_.reset(XXH3_createState());
            XXH3_64bits_reset(state_.get());
        }
        XXH3_64bits_update(state_.get(), piece.data(), piece.size());
    }
    /** The digest in decimal; empty if there was no body. */
    [[nodiscard]] std::string text() const
    {
        return state_ ? std::to_string(XXH3_64bits_digest(state_.get())) : std::string{};
    }

private:
    struct deleter {
        void operator()(XXH3_state_t* state) const { XXH3_freeState(state); }
    };
    std::unique_ptr<XXH3_state_t, deleter> state_;
};

} // namespace

void standin_host::command(const server_command& order)
{
    {
        const std::lock_guard lock(mutex);
        model.command(order, boot_clock::now());
        if (order.die) {
            death = order.die;
            deaths_left = order.die_calls;
        }
    }
    if (order.silence) {
        std::ranges::for_each(sessions, &standin_session::silence,
                              [](const auto& session) -> standin_session& { return *session; });
    }
}

void standin_host::close_all(const standin_session* spared)
{
    waiting.clear();
    for (const auto& session : sessions) {
        if (session.get() != spared) {
            session->close();
        }
    }
}

void standin_host::wake(call_ticket ticket)
{
    const auto found = waiting.find(ticket);
    if (found != waiting.end()) {
        found->second->wake();
        waiting.erase(found);
    }
}

bool standin_host::take_death(server_death point)
{
    const std::lock_guard lock(mutex);
    if (death != point || deaths_left == 0) {
        return false;
    }
    --deaths_left;
    ++model.counts().died;
    return true;
}

standin_session::standin_session(asio::ip::tcp::socket socket, standin_host& host)
    : socket_(std::move(socket)), host_(host), parser_(http_side::request, max_head_bytes),
      timer_(host.io), buffer_(read_bytes, '\0')
{
}

void standin_session::close()
{
    closed_ = true;
    asio::error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
}

void standin_session::wake()
{
    woken_ = true;
    timer_.cancel();
}

asio::awaitable<void> standin_session::run()
{
    const auto self = shared_from_this();
    try {
        const auto connect_time = host_.model.behaviour().connect_time;
        if (connect_time.count() > 0) {
            co_await pause(boot_clock::now() + connect_time);
        }
        while (co_await read_request()) {
            co_await dispatch();
        }
    }
    catch (const std::exception&) {
        // The peer closed the connection, sent no HTTP, or the server broke the connection.
    }
    finish();
    close();
}

asio::awaitable<bool> standin_session::read_request()
{
    parser_.reset();
    page_body_.clear();
    body_size_ = 0;
    body_hasher hasher;
    while (!parser_.message_complete()) {
        if (used_ == size_) {
            asio::error_code error;
            size_ = co_await socket_.async_read_some(
                asio::buffer(buffer_), asio::redirect_error(asio::use_awaitable, error));
            used_ = 0;
            if (silent_) {
                co_await stay_silent();
            }
            if (error) {
                co_return false;
            }
        }
        used_ += parser_.feed(std::string_view{buffer_}.substr(used_, size_ - used_));
        for (const auto piece : parser_.body()) {
            body_size_ += piece.size();
            hasher.add(piece);
            if (page_body_.size() + piece.size() <= max_page_body_bytes &&
                parser_.head().target.starts_with("/.")) {
                page_body_.append(piece);
            }
        }
    }
    body_digest_ = hasher.text();
    co_return true;
}

asio::awaitable<void> standin_session::dispatch()
{
    const auto& target = parser_.head().target;
    const std::string_view path = std::string_view{target}.substr(0, target.find('?'));
    if (!path.starts_with("/.")) {
        co_await handle_call();
    }
    else if (path == server_path::probe) {
        co_await handle_probe();
    }
    else if (path == server_path::control) {
        co_await handle_control();
    }
    else if (path == server_path::record) {
        co_await handle_record();
    }
    else if (path == server_path::ran) {
        co_await handle_ran();
    }
    else {
        co_await refuse(http_bad_request, false);
    }
    if (!parser_.head().keep_alive) {
        throw connection_broken{};
    }
}

std::string standin_session::header(const char* name)
{
    return std::string{parser_.head().headers.find(name).value_or("")};
}

bool standin_session::past_deadline() const
{
    return deadline_ && system_clock_source::wall_now() > *deadline_;
}

asio::awaitable<void> standin_session::handle_call()
{
    deadline_ = parse_deadline(header(edge_header::deadline));
    if (host_.take_death(server_death::before_run)) {
        die();
    }
    arrival met{};
    {
        const std::lock_guard lock(host_.mutex);
        met = host_.model.arrive(boot_clock::now(), past_deadline());
    }
    switch (met.verdict) {
    case arrival_verdict::run:
        co_await run_call(met.ticket);
        break;
    case arrival_verdict::wait:
        if (co_await wait_for_slot(met.ticket)) {
            co_await run_call(met.ticket);
        }
        break;
    case arrival_verdict::shed:
        co_await refuse(http_unavailable, true);
        break;
    case arrival_verdict::late:
        co_await refuse(http_timeout, true);
        break;
    case arrival_verdict::fail_fast:
        co_await refuse(http_server_error, false);
        break;
    case arrival_verdict::fall_over:
        host_.close_all(nullptr);
        throw connection_broken{};
    case arrival_verdict::down:
        throw connection_broken{};
    }
}

asio::awaitable<bool> standin_session::wait_for_slot(call_ticket ticket)
{
    host_.waiting[ticket] = this;
    woken_ = false;
    auto until = local_time::max();
    if (deadline_) {
        until = boot_clock::now() + (*deadline_ - system_clock_source::wall_now());
    }
    const auto end = co_await pause(until);
    if (end == pause_end::woken) {
        co_return true;
    }
    host_.waiting.erase(ticket);
    {
        const std::lock_guard lock(host_.mutex);
        host_.model.abandon(ticket, boot_clock::now());
        auto& counts = host_.model.counts();
        ++(end == pause_end::due ? counts.late : counts.cancelled);
    }
    if (end == pause_end::peer_closed) {
        throw connection_broken{};
    }
    co_await refuse(http_timeout, true);
    co_return false;
}

void standin_session::note_begin()
{
    run_ = {};
    run_.call_id = header(edge_header::call_id);
    run_.request_id = header(server_header::request_id);
    run_.idempotency_key = header(edge_header::idempotency);
    run_.start = system_clock_source::wall_now();
    {
        const std::lock_guard lock(host_.mutex);
        run_.concurrency = host_.model.counts().running;
    }
    const auto& method = parser_.head().method;
    const bool once = method == "POST" || method == "PATCH";
    if (!run_.request_id.empty()) {
        host_.ledger->note_run({run_.request_id, run_.idempotency_key, once});
    }
}

void standin_session::finish()
{
    const auto ticket = std::exchange(running_, std::nullopt);
    if (!ticket) {
        return;
    }
    std::optional<call_ticket> next;
    {
        const std::lock_guard lock(host_.mutex);
        if (!host_.model.is_current(*ticket)) {
            return;
        }
        next = host_.model.finish(*ticket, boot_clock::now());
        run_.end = system_clock_source::wall_now();
        auto& record = host_.model.counts();
        record.runs.push_back(std::move(run_));
        if (record.runs.size() > host_.model.behaviour().record_limit) {
            record.runs.pop_front();
        }
    }
    if (next) {
        host_.wake(*next);
    }
}

asio::awaitable<void> standin_session::run_call(call_ticket ticket)
{
    running_ = ticket;
    note_begin();
    microseconds time{0};
    {
        const std::lock_guard lock(host_.mutex);
        time = host_.model.draw_service_time(boot_clock::now());
    }
    const bool dies = host_.take_death(server_death::in_run);
    const bool whole = co_await spend(dies ? time / 2 : time);
    if (dies || (whole && host_.take_death(server_death::after_run))) {
        die();
    }
    if (!whole) {
        co_await refuse(http_timeout, false);
        co_return;
    }
    const auto& head = parser_.head();
    const auto size = head.method == "GET" && head.target.starts_with(server_path::bytes)
                          ? size_in_target(head.target)
                          : std::nullopt;
    if (size) {
        co_await answer_bytes(*size);
    }
    else {
        co_await answer_call();
    }
}

asio::awaitable<bool> standin_session::spend(microseconds time)
{
    if (time.count() == 0) {
        co_return true;
    }
    auto left = nanoseconds{time};
    bool whole = true;
    if (deadline_) {
        const nanoseconds to_deadline = *deadline_ - system_clock_source::wall_now();
        whole = left <= to_deadline;
        left = std::min(left, to_deadline);
    }
    const auto end = co_await pause(boot_clock::now() + left);
    if (end == pause_end::peer_closed) {
        finish();
        const std::lock_guard lock(host_.mutex);
        ++host_.model.counts().cancelled;
        throw connection_broken{};
    }
    if (!whole) {
        finish();
        const std::lock_guard lock(host_.mutex);
        ++host_.model.counts().abandoned;
    }
    co_return whole;
}

std::string standin_session::answer_head(int status)
{
    std::string out;
    append_status_line(out, status);
    {
        const std::lock_guard lock(host_.mutex);
        append_header(out, edge_header::load, host_.model.report(boot_clock::now()));
        append_header(out, server_header::server, host_.model.behaviour().name);
    }
    if (const auto id = parser_.head().headers.find(server_header::request_id)) {
        append_header(out, server_header::request_id, *id);
    }
    if (body_size_ > 0) {
        append_header(out, server_header::body_size, std::to_string(body_size_));
        append_header(out, server_header::body_digest, body_digest_);
    }
    return out;
}

asio::awaitable<void> standin_session::answer_call()
{
    finish();
    const auto size = host_.model.behaviour().answer_bytes;
    std::string out = answer_head(http_ok);
    append_header(out, server_header::answer_size, std::to_string(size));
    append_header(out, "Content-Length", std::to_string(size));
    out += "\r\n";
    const auto head_size = out.size();
    if (parser_.head().method != "HEAD") {
        out.resize(head_size + size);
        fill_pattern({out.data() + head_size, size},
                     pattern_seed(header(server_header::request_id)), 0);
    }
    if (host_.take_death(server_death::in_body)) {
        co_await write(std::string_view{out}.substr(0, head_size + (out.size() - head_size) / 2));
        die();
    }
    co_await write(out);
}

asio::awaitable<void> standin_session::answer_bytes(std::uint64_t size)
{
    const auto range = choose_range(parser_.head().headers, size);
    if (!range) {
        finish();
        std::string out = answer_head(http_bad_range);
        append_header(out, "Content-Range", "bytes */" + std::to_string(size));
        append_header(out, "Content-Length", "0");
        co_await write(out + "\r\n");
        co_return;
    }
    std::string out = answer_head(range->partial ? http_partial : http_ok);
    append_header(out, "ETag", entity_tag(size));
    append_header(out, "Accept-Ranges", "bytes");
    append_header(out, "Content-Length", std::to_string(range->size));
    if (range->partial) {
        append_header(out, "Content-Range",
                      "bytes " + std::to_string(range->first) + "-" +
                          std::to_string(range->first + range->size - 1) + "/" +
                          std::to_string(size));
    }
    co_await write(out + "\r\n");
    co_await stream_bytes(*range);
}

asio::awaitable<void> standin_session::stream_bytes(byte_range range)
{
    const auto seed = pattern_seed(entity_tag(*size_in_target(parser_.head().target)));
    const auto cut_at = host_.take_death(server_death::in_body) ? range.size / 2 : range.size;
    std::string block;
    std::uint64_t done = 0;
    while (done < cut_at) {
        const auto count = std::min<std::uint64_t>(stream_block_bytes, cut_at - done);
        block.resize(count);
        fill_pattern(block, seed, range.first + done);
        done += count;
        if (done == range.size) {
            finish();
        }
        co_await write(block);
    }
    finish();
    if (done < range.size) {
        die();
    }
}

asio::awaitable<void> standin_session::handle_probe()
{
    microseconds time{0};
    {
        const std::lock_guard lock(host_.mutex);
        auto& counts = host_.model.counts();
        ++counts.probes;
        time = host_.model.behaviour().probe_time;
        if (host_.model.record(boot_clock::now()).down) {
            throw connection_broken{};
        }
    }
    if (time.count() > 0) {
        co_await pause(boot_clock::now() + time);
    }
    std::string out = answer_head(http_ok);
    append_header(out, "Content-Length", "0");
    co_await write(out + "\r\n");
}

asio::awaitable<void> standin_session::handle_control()
{
    server_command order;
    std::string fault;
    try {
        order = parse_server_command(page_body_);
    }
    catch (const invalid_input& invalid) {
        fault = invalid.what();
    }
    if (!fault.empty()) {
        co_await write_page(http_bad_request, findings_page(fault));
        co_return;
    }
    host_.command(order);
    silent_ = false;
    if (order.restart) {
        host_.close_all(this);
    }
    co_await write_page(http_ok, "{}");
}

asio::awaitable<void> standin_session::handle_record()
{
    const auto& target = parser_.head().target;
    constexpr std::string_view field = "runs=";
    std::size_t runs = 0;
    const auto at = target.find(field);
    if (at != std::string::npos) {
        std::from_chars(target.data() + at + field.size(), target.data() + target.size(), runs);
    }
    server_record record;
    server_behaviour behaviour;
    {
        const std::lock_guard lock(host_.mutex);
        record = host_.model.record(boot_clock::now());
        behaviour = host_.model.behaviour();
    }
    co_await write_page(http_ok, format_server_record(behaviour, record, *host_.ledger, runs));
}

asio::awaitable<void> standin_session::handle_ran()
{
    co_await write_page(http_ok, ran_page(page_body_, *host_.ledger));
}

asio::awaitable<void> standin_session::refuse(int status, bool not_run)
{
    std::string out = answer_head(status);
    if (not_run) {
        append_header(out, edge_header::not_run, "1");
    }
    append_header(out, "Content-Length", "0");
    co_await write(out + "\r\n");
}

asio::awaitable<void> standin_session::write_page(int status, const std::string& json)
{
    std::string out;
    append_status_line(out, status);
    append_header(out, "Content-Type", "application/json");
    append_header(out, "Content-Length", std::to_string(json.size()));
    out += "\r\n";
    out += json;
    co_await write(out);
}

asio::awaitable<void> standin_session::write(std::string_view bytes)
{
    if (silent_) {
        co_await stay_silent();
    }
    co_await asio::async_write(socket_, asio::buffer(bytes), asio::use_awaitable);
}

asio::awaitable<standin_session::pause_end> standin_session::pause(local_time until)
{
    woken_ = false;
    peer_closed_ = false;
    if (until == local_time::max()) {
        timer_.expires_at(asio::steady_timer::time_point::max());
    }
    else {
        timer_.expires_after(until - boot_clock::now());
    }
    watch_peer();
    asio::error_code ignored;
    co_await timer_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    if (closed_) {
        throw connection_broken{};
    }
    socket_.cancel(ignored);
    if (woken_) {
        co_return pause_end::woken;
    }
    co_return peer_closed_ && !silent_ ? pause_end::peer_closed : pause_end::due;
}

void standin_session::watch_peer()
{
    socket_.async_wait(asio::ip::tcp::socket::wait_read,
                       [self = shared_from_this()](const asio::error_code& error) {
                           if (error || self->closed_) {
                               return;
                           }
                           asio::error_code fault;
                           const bool closed = self->socket_.available(fault) == 0 || fault;
                           if (closed && !self->silent_) {
                               self->peer_closed_ = true;
                               self->timer_.cancel();
                           }
                       });
}

asio::awaitable<void> standin_session::stay_silent()
{
    timer_.expires_at(asio::steady_timer::time_point::max());
    asio::error_code ignored;
    co_await timer_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    throw connection_broken{};
}

void standin_session::die()
{
    throw connection_broken{};
}

} // namespace sniperock

/** @file load_worker.cpp One thread's part of a load. */
#include "load_worker.hpp"
#include "edge_router.hpp"
#include "edge_type.hpp"
#include "http_write.hpp"
#include "load_func.hpp"
#include "standin_control.hpp"
#include "standin_pattern.hpp"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>
#include <xxhash.h>

#include <algorithm>
#include <sys/socket.h>

namespace sniperock {
namespace {

constexpr std::size_t read_bytes = 16'384;
constexpr std::size_t max_head_bytes = 65'536;
constexpr std::size_t not_run_ids_limit = 200'000;
constexpr milliseconds sweep_period{20};
/** A caller waits this much longer than the time it states. */
constexpr milliseconds give_up_grace{500};
constexpr milliseconds locate_timeout{1000};
constexpr std::size_t most_addresses = 4;

/** Whether an idle connection can carry another call. */
enum class idle_state { usable, closed, unasked_bytes };

idle_state look_at(load_connection& connection)
{
    char byte = 0;
    const auto size =
        ::recv(connection.socket.native_handle(), &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
    if (size > 0) {
        return idle_state::unasked_bytes;
    }
    const bool quiet = size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    return quiet ? idle_state::usable : idle_state::closed;
}

std::string make_body(std::size_t size)
{
    std::string body(size, '\0');
    fill_pattern(body, pattern_seed("request body"), 0);
    return body;
}

std::string digest_of(const std::string& body)
{
    return body.empty() ? std::string{} : std::to_string(XXH3_64bits(body.data(), body.size()));
}

} // namespace

load_connection::load_connection(asio::io_context& io)
    : socket(io), parser(http_side::response, max_head_bytes), buffer(read_bytes, '\0')
{
}

load_worker::load_worker(const load_plan& plan, std::size_t index, std::size_t count)
    : plan_(plan), index_(index),
      max_connections_(std::max<std::size_t>(1, plan.connections / count)), next_target_(index)
{
    std::ranges::transform(plan.targets, std::back_inserter(targets_), parse_endpoint);
    std::ranges::transform(plan.locate, std::back_inserter(locate_), parse_endpoint);
    const double share = 1.0 / static_cast<double>(count);
    const double phase = static_cast<double>(index) * share;
    for (const auto& stream : plan.streams) {
        const auto seed = plan.seed * 1'000'003 + arrivals_.size() * count + index;
        arrivals_.emplace_back(stream, share, phase, seed);
        counts_.push_back(
            &result_.rows[{stream.plan, service_of(stream), classify(stream.method)}]);
        bodies_.push_back(make_body(stream.body_bytes));
        digests_.push_back(digest_of(bodies_.back()));
        caches_[service_of(stream)].resize(std::max<std::size_t>(1, plan.callers));
    }
    const auto slices = plan.duration / timeline_step + 1;
    result_.timeline.resize(static_cast<std::size_t>(slices));
}

void load_worker::run(local_time start)
{
    start_ = start;
    asio::co_spawn(io_, generate(start), asio::detached);
    asio::co_spawn(io_, sweep(), asio::detached);
    io_.run();
}

asio::awaitable<void> load_worker::generate(local_time start)
{
    std::vector<nanoseconds> next;
    std::ranges::transform(arrivals_, std::back_inserter(next), &load_arrivals::next);
    asio::steady_timer timer(io_);
    while (true) {
        const auto first = std::ranges::min_element(next);
        if (first == next.end() || *first >= plan_.duration) {
            break;
        }
        const auto at = start + *first;
        const auto now = boot_clock::now();
        if (at > now) {
            timer.expires_after(at - now);
            co_await timer.async_wait(asio::use_awaitable);
        }
        const auto stream = static_cast<std::size_t>(first - next.begin());
        dispatch({stream, at, next_number_++});
        *first = arrivals_.at(stream).next();
    }
    generated_ = true;
}

asio::awaitable<void> load_worker::sweep()
{
    asio::steady_timer timer(io_);
    while (!generated_ || active_ > 0 || !backlog_.empty()) {
        timer.expires_after(sweep_period);
        co_await timer.async_wait(asio::use_awaitable);
        const auto now = boot_clock::now();
        for (auto* connection : busy_) {
            if (now >= connection->give_up_at) {
                connection->gave_up = true;
                asio::error_code ignored;
                connection->socket.close(ignored);
            }
        }
    }
    idle_.clear();
}

void load_worker::dispatch(const intended_call& call)
{
    if (active_ >= max_connections_) {
        backlog_.push_back(call);
        return;
    }
    ++active_;
    sent_.fetch_add(1, std::memory_order_relaxed);
    asio::co_spawn(io_, perform(call), asio::detached);
}

bool load_worker::may_repeat(const intended_call& call, attempt_end end) const
{
    if (end == attempt_end::not_sent || end == attempt_end::not_run) {
        return true;
    }
    const auto& stream = plan_.streams.at(call.stream);
    const bool repeatable =
        classify(stream.method) != call_class::non_idempotent || stream.idempotency_key;
    return repeatable && (end == attempt_end::cut_off || end == attempt_end::unknown);
}

asio::awaitable<void> load_worker::perform(intended_call call)
{
    auto& counts = *counts_.at(call.stream);
    ++counts.sent;
    const std::string id = std::to_string(plan_.seed) + "-" + std::to_string(index_) + "-" +
                           std::to_string(call.number);
    auto end = attempt_end::not_sent;
    for (std::uint32_t number = 0; number <= plan_.retries; ++number) {
        counts.retried += number > 0 ? 1 : 0;
        try {
            end = co_await attempt(call, id, counts);
        }
        catch (const std::exception&) {
            end = attempt_end::cut_off;
        }
        const bool in_time = boot_clock::now() - call.at < plan_.timeout;
        if (!in_time || !may_repeat(call, end)) {
            break;
        }
    }
    note_end(call, end, counts);
    if (end == attempt_end::not_run && result_.not_run_ids.size() < not_run_ids_limit) {
        result_.not_run_ids.push_back(id);
    }
    --active_;
    ended_.fetch_add(1, std::memory_order_relaxed);
    if (!backlog_.empty()) {
        const auto next = backlog_.front();
        backlog_.pop_front();
        dispatch(next);
    }
}

void load_worker::note_end(const intended_call& call, attempt_end end, load_counts& counts)
{
    static constexpr std::array fields{
        &load_counts::answered, &load_counts::failed,    &load_counts::not_run,
        &load_counts::unknown,  &load_counts::crossed,   &load_counts::damaged,
        &load_counts::cut_off,  &load_counts::timed_out, &load_counts::not_sent};
    ++(counts.*fields.at(static_cast<std::size_t>(end)));
    const auto latency = std::chrono::duration_cast<microseconds>(boot_clock::now() - call.at);
    if (end == attempt_end::answered) {
        counts.latencies.add(latency);
    }
    note_slice(call, end, latency);
}

void load_worker::note_slice(const intended_call& call, attempt_end end, microseconds latency)
{
    const auto index = static_cast<std::size_t>((call.at - start_) / timeline_step);
    auto& slice = result_.timeline.at(std::min(index, result_.timeline.size() - 1));
    ++slice.sent;
    if (end == attempt_end::answered) {
        ++slice.answered;
        slice.longest = std::max(slice.longest, latency);
        return;
    }
    ++(end == attempt_end::not_run ? slice.not_run : slice.lost);
}

locate_cache& load_worker::cache_for(const intended_call& call)
{
    auto& caches = caches_.at(service_of(plan_.streams.at(call.stream)));
    return caches.at(call.number % caches.size());
}

asio::awaitable<load_worker::attempt_end>
load_worker::attempt(const intended_call& call, const std::string& id, load_counts& counts)
{
    std::unique_ptr<load_connection> connection;
    while (!connection) {
        connection = co_await connect(call);
        if (!connection) {
            co_return attempt_end::not_sent;
        }
        const auto state = connection->used ? look_at(*connection) : idle_state::usable;
        counts.doubled += state == idle_state::unasked_bytes ? 1 : 0;
        if (state != idle_state::usable) {
            connection.reset();
        }
    }
    connection->give_up_at = boot_clock::now() + plan_.timeout + give_up_grace;
    connection->gave_up = false;
    busy_.insert(connection.get());
    result_.most_connections = std::max(result_.most_connections, busy_.size() + idle_count_);
    auto end = attempt_end::cut_off;
    bool broken = false;
    try {
        end = co_await exchange(*connection, call, id, counts);
    }
    catch (const std::exception&) {
        broken = true;
    }
    busy_.erase(connection.get());
    if (broken) {
        end = connection->gave_up ? attempt_end::timed_out : attempt_end::cut_off;
        if (!locate_.empty()) {
            cache_for(call).demote(connection->endpoint, boot_clock::now());
        }
    }
    else if (connection->parser.head().keep_alive) {
        keep(std::move(connection));
    }
    co_return end;
}

asio::awaitable<std::unique_ptr<load_connection>> load_worker::connect(const intended_call& call)
{
    auto addresses = targets_;
    if (!locate_.empty()) {
        auto& cache = cache_for(call);
        if (cache.addresses().empty()) {
            co_await refresh(call.stream, cache);
        }
        else if (cache.start_refresh(boot_clock::now())) {
            cache.fail(boot_clock::now());
            asio::co_spawn(io_, refresh(call.stream, cache), asio::detached);
        }
        addresses = cache.addresses();
    }
    else {
        const auto first = static_cast<std::ptrdiff_t>(next_target_++ % addresses.size());
        std::rotate(addresses.begin(), addresses.begin() + first, addresses.end());
    }
    for (std::size_t at = 0; at < std::min(addresses.size(), most_addresses); ++at) {
        if (auto idle = take_idle(addresses.at(at), *counts_.at(call.stream))) {
            co_return idle;
        }
        auto fresh = std::make_unique<load_connection>(io_);
        fresh->endpoint = addresses.at(at);
        if (co_await open(*fresh)) {
            co_return fresh;
        }
        if (!locate_.empty()) {
            cache_for(call).demote(addresses.at(at), boot_clock::now());
        }
    }
    co_return nullptr;
}

asio::awaitable<bool> load_worker::open(load_connection& connection)
{
    if (active_ + idle_count_ > max_connections_) {
        evict_idle();
    }
    connection.give_up_at = boot_clock::now() + plan_.timeout;
    busy_.insert(&connection);
    asio::error_code error;
    co_await connection.socket.async_connect(connection.endpoint,
                                             asio::redirect_error(asio::use_awaitable, error));
    busy_.erase(&connection);
    if (!error) {
        asio::error_code ignored;
        connection.socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    }
    co_return !error;
}

std::unique_ptr<load_connection> load_worker::take_idle(const asio::ip::tcp::endpoint& endpoint,
                                                        load_counts& counts)
{
    auto& idle = idle_[endpoint];
    while (!idle.empty()) {
        auto connection = std::move(idle.back());
        idle.pop_back();
        --idle_count_;
        const auto state = look_at(*connection);
        if (state == idle_state::usable) {
            return connection;
        }
        counts.doubled += state == idle_state::unasked_bytes ? 1 : 0;
    }
    return nullptr;
}

void load_worker::keep(std::unique_ptr<load_connection> connection)
{
    connection->used = true;
    ++idle_count_;
    idle_[connection->endpoint].push_back(std::move(connection));
}

void load_worker::evict_idle()
{
    const auto found =
        std::ranges::find_if(idle_, [](const auto& item) { return !item.second.empty(); });
    if (found != idle_.end()) {
        found->second.erase(found->second.begin());
        --idle_count_;
    }
}

std::string load_worker::request_head(const intended_call& call, const std::string& id) const
{
    const auto& stream = plan_.streams.at(call.stream);
    std::string out;
    append_request_line(out, stream.method, stream.path);
    append_header(out, "Host", stream.host);
    if (!stream.key.empty()) {
        append_header(out, edge_header::key, stream.key);
    }
    append_header(out, edge_header::timeout, std::to_string(plan_.timeout.count()));
    append_header(out, server_header::request_id, id);
    if (stream.idempotency_key) {
        append_header(out, edge_header::idempotency, id);
    }
    if (stream.body_bytes > 0 || classify(stream.method) != call_class::safe) {
        append_header(out, "Content-Length", std::to_string(stream.body_bytes));
    }
    out += "\r\n";
    out += bodies_.at(call.stream);
    return out;
}

asio::awaitable<load_worker::attempt_end> load_worker::exchange(load_connection& connection,
                                                                const intended_call& call,
                                                                const std::string& id,
                                                                load_counts& counts)
{
    const auto& stream = plan_.streams.at(call.stream);
    const std::string out = request_head(call, id);
    co_await asio::async_write(connection.socket, asio::buffer(out), asio::use_awaitable);
    answer_checker checker(stream, id, digests_.at(call.stream), plan_.check_bodies);
    auto& parser = connection.parser;
    parser.reset(stream.method == "HEAD");
    bool begun = false;
    std::size_t used = 0;
    std::size_t size = 0;
    while (!parser.message_complete()) {
        if (used == size) {
            size = co_await connection.socket.async_read_some(asio::buffer(connection.buffer),
                                                              asio::use_awaitable);
            used = 0;
        }
        used += parser.feed(std::string_view{connection.buffer}.substr(used, size - used));
        if (!begun && parser.head_complete()) {
            checker.begin(parser.head());
            begun = true;
        }
        std::ranges::for_each(parser.body(), [&](std::string_view piece) { checker.add(piece); });
    }
    if (used < size) {
        ++counts.doubled;
        parser.head().keep_alive = false;
    }
    const auto verdict = checker.finish();
    if (verdict != answer_verdict::answered && !checker.reason().empty()) {
        ++counts.reasons[checker.reason()];
    }
    co_return to_end(verdict);
}

load_worker::attempt_end load_worker::to_end(answer_verdict verdict)
{
    static constexpr std::array ends{attempt_end::answered, attempt_end::failed,
                                     attempt_end::not_run,  attempt_end::unknown,
                                     attempt_end::crossed,  attempt_end::damaged};
    return ends.at(static_cast<std::size_t>(verdict));
}

asio::awaitable<void> load_worker::refresh(std::size_t stream, locate_cache& cache)
{
    for (std::size_t at = 0; at < locate_.size(); ++at) {
        const auto& endpoint = locate_.at(next_target_++ % locate_.size());
        std::optional<located> answer;
        try {
            answer = co_await ask(endpoint, plan_.streams.at(stream));
        }
        catch (const std::exception&) {
            // The next address is asked.
        }
        if (answer) {
            cache.set(std::move(*answer), boot_clock::now());
            co_return;
        }
    }
    cache.fail(boot_clock::now());
}

asio::awaitable<std::optional<located>> load_worker::ask(const asio::ip::tcp::endpoint& endpoint,
                                                         const load_stream& stream)
{
    load_connection connection(io_);
    connection.endpoint = endpoint;
    if (!co_await open(connection)) {
        co_return std::nullopt;
    }
    std::string out;
    append_request_line(out, "GET",
                        "/locate?service=" + service_of(stream) +
                            (plan_.near.empty() ? "" : "&near=" + plan_.near));
    append_header(out, "Host", "locate");
    append_header(out, "Connection", "close");
    out += "\r\n";
    connection.give_up_at = boot_clock::now() + locate_timeout;
    busy_.insert(&connection);
    std::string body;
    try {
        co_await asio::async_write(connection.socket, asio::buffer(out), asio::use_awaitable);
        std::size_t used = 0;
        std::size_t size = 0;
        while (!connection.parser.message_complete()) {
            if (used == size) {
                size = co_await connection.socket.async_read_some(asio::buffer(connection.buffer),
                                                                  asio::use_awaitable);
                used = 0;
            }
            used += connection.parser.feed(
                std::string_view{connection.buffer}.substr(used, size - used));
            for (const auto piece : connection.parser.body()) {
                body.append(piece);
            }
        }
    }
    catch (const std::exception&) {
        body.clear();
    }
    busy_.erase(&connection);
    co_return parse_located(body);
}

} // namespace sniperock

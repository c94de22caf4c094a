/** @file upstream_probe.cpp Asks upstreams for their load and health. */
#include "upstream_probe.hpp"

#include "http_write.hpp"
#include "upstream_health.hpp"

#include <algorithm>

namespace sniperock {
namespace {

/** A probe without an answer for so long counts as silence; ten times a usual answer. */
constexpr milliseconds answer_limit{250};
/** On a kept connection, after so many times the usual time, a new connection is tried. */
constexpr int kept_times = 3;
constexpr milliseconds least_kept_limit{10};
/** The usual time is an average over about so many probes. */
constexpr int time_averaged_over = 32;
/** Longest health answer; usual ones have a short body or none. */
constexpr std::size_t max_health_answer = 65'536;

} // namespace

upstream_prober::upstream_prober(asio::io_context& io, upstream_pool& pool,
                                 const wire_dialect& dialect, metrics& measured)
    : io_(io), pool_(pool), dialect_(dialect),
      sent_(measured.counter("sniperock_probes_total", "Probes sent to upstreams",
                             {{"what", "sent"}})),
      unanswered_(measured.counter("sniperock_probes_total", "Probes sent to upstreams",
                                   {{"what", "unanswered"}}))
{
}

void upstream_prober::start(const std::shared_ptr<probe_round>& round, const upstream_ptr& target,
                            const std::string& health_path)
{
    ++round->pending;
    sent_.Increment();
    start_task(io_.get_executor(), run(round, target, health_path));
}

task<> upstream_prober::run(std::shared_ptr<probe_round> round, upstream_ptr target,
                            std::string health_path)
{
    auto connection = pool_.take_idle(*target, boot_clock::now());
    bool answered = false;
    if (connection) {
        const auto limit = std::max<nanoseconds>(usual_time_ * kept_times, least_kept_limit);
        answered = co_await ask(connection, target, health_path, limit);
    }
    if (!answered) {
        if (connection) {
            // Something between the two ends may have dropped it; others as old are no better.
            connection->close();
            target->idle.clear();
        }
        connection = pool_.make();
        answered = co_await ask(connection, target, health_path, answer_limit);
    }
    const auto now = boot_clock::now();
    --round->pending;
    if (!answered) {
        connection->close();
        unanswered_.Increment();
        note_silent(*target, now);
    }
    else if (round->closed) {
        pool_.put_back(*target, connection, now);
    }
    else {
        round->answers.push_back({target, connection});
    }
    round->changed.notify();
}

/** One health request and its answer. @return false if none came. */
task<bool> upstream_prober::ask(std::shared_ptr<http_connection> connection, upstream_ptr target,
                                std::string health_path, nanoseconds limit)
{
    const scoped_timeout guard(io_.get_executor(), limit, [&connection] { connection->close(); });
    if (!connection->reused()) {
        const bool connected = co_await connection->connect(target->entry.endpoint);
        if (!connected) {
            co_return false;
        }
    }
    std::string request;
    append_request_line(request, "GET", health_path);
    append_header(request, "Host", target->entry.service);
    request += "\r\n";
    const auto sent_at = boot_clock::now();
    connection->send(request, false);
    auto progress = co_await connection->read_head(dialect_.attempt_id, "-");
    std::string body;
    while (progress == read_progress::more && connection->received() <= max_health_answer) {
        body.clear();
        progress = co_await connection->read_body(body);
    }
    if (progress != read_progress::complete) {
        co_return false;
    }
    usual_time_ += (boot_clock::now() - sent_at - usual_time_) / time_averaged_over;
    take_answer(*target, connection->head());
    co_return true;
}

void upstream_prober::take_answer(upstream& item, http_head& head) const
{
    const auto now = boot_clock::now();
    const auto id = head.headers.find(dialect_.upstream_id);
    if (id && *id != item.entry.id) {
        item.unhealthy = true;
        return;
    }
    item.unhealthy = head.status != http_status::ok;
    note_answered(item);
    learn(item, head.headers, now);
}

void upstream_prober::learn(upstream& item, const http_headers& headers, local_time now) const
{
    if (const auto cold = headers.find(dialect_.cold_ms)) {
        const auto left = parse_unsigned(cold->substr(0, cold->find('.')));
        item.cold_until = left ? now + milliseconds{*left} : now;
    }
    const auto load = headers.find(dialect_.load);
    if (const auto report = load ? dialect_.parse_load(*load) : std::nullopt) {
        item.report = report;
        item.reported_at = now;
        item.sent_since_report = 0;
    }
}

} // namespace sniperock

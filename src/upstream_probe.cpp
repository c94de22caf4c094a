/** @file upstream_probe.cpp Probes the load and health of upstreams. */
#include "upstream_probe.hpp"

#include "http_write.hpp"
#include "upstream_health.hpp"

#include <algorithm>

namespace sniperock {
namespace {

/** A probe that exceeds this counts as unanswered; ten times a usual answer time. */
constexpr milliseconds answer_timeout{250};
/** A probe on a reused connection is retried on a new one after this many average answer times. */
constexpr int reused_timeout_factor = 3;
constexpr milliseconds min_reused_timeout{10};
/** Number of probes that the moving average of the answer time covers approximately. */
constexpr int average_window = 32;
/** Maximum size of a health answer; usual ones have a short body or none. */
constexpr std::size_t max_health_answer = 65'536;

} // namespace

upstream_prober::upstream_prober(asio::io_context& io, upstream_pool& pool,
                                 const wire_dialect& dialect, request_quarantine& quarantine,
                                 metrics& metrics_registry)
    : io_(io), pool_(pool), dialect_(dialect), quarantine_(quarantine),
      sent_(metrics_registry.counter("sniperock_probes_total", "Probes sent to upstreams",
                                     {{"what", "sent"}})),
      unanswered_(metrics_registry.counter("sniperock_probes_total", "Probes sent to upstreams",
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
        const auto timeout =
            std::max<nanoseconds>(average_time_ * reused_timeout_factor, min_reused_timeout);
        answered = co_await send_probe(connection, target, health_path, timeout);
    }
    if (!answered) {
        if (connection) {
            // A network element in between may have dropped the connection; the other idle ones,
            // which are not newer, may be dropped as well.
            connection->close();
            target->idle.clear();
        }
        connection = pool_.make();
        answered = co_await send_probe(connection, target, health_path, answer_timeout);
    }
    const auto now = boot_clock::now();
    --round->pending;
    if (!answered) {
        connection->close();
        unanswered_.Increment();
        handle_no_response(*target, connection->refused(), now);
        if (connection->refused()) {
            handle_process_end(*target, quarantine_, now);
        }
    }
    else if (round->closed) {
        pool_.put_back(*target, connection, now);
    }
    else {
        round->answers.push_back({target, connection});
    }
    round->changed.notify();
}

/** Sends a health request and reads the answer. @return false if no complete answer arrived. */
task<bool> upstream_prober::send_probe(std::shared_ptr<http_connection> connection,
                                       upstream_ptr target, std::string health_path,
                                       nanoseconds timeout)
{
    const scoped_timeout guard(io_.get_executor(), timeout, [&connection] { connection->close(); });
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
    auto progress = co_await connection->read_head(dialect_.attempt_id, "");
    std::string body;
    while (progress == read_progress::incomplete && connection->received() <= max_health_answer) {
        body.clear();
        progress = co_await connection->read_body(body);
    }
    if (progress != read_progress::complete) {
        co_return false;
    }
    const auto took = boot_clock::now() - sent_at;
    average_time_ += (took - average_time_) / average_window;
    distances_.record(target->entry.failure_domain, took);
    apply_answer(*target, connection->head(), sent_at);
    co_return true;
}

void upstream_prober::apply_answer(upstream& item, http_head& head, local_time sent_at) const
{
    const auto now = boot_clock::now();
    const auto id = head.headers.find(dialect_.upstream_id);
    if (id && *id != item.entry.id) {
        item.unhealthy = true;
        return;
    }
    item.unhealthy = head.status != http_status::ok;
    handle_response(item, now);
    apply_headers(item, head.headers, now);
    apply_limit(item, head.headers, limit_source::probe, sent_at);
}

void upstream_prober::apply_limit(upstream& item, const http_headers& headers, limit_source source,
                                  local_time sent_at) const
{
    const auto text = headers.find(dialect_.limit);
    const auto per_s = text ? parse_rate(*text) : std::nullopt;
    // A value that cannot be read says nothing about the limit.
    if (!text || per_s) {
        observe_limit(item, {per_s, source, sent_at}, boot_clock::now());
    }
}

void upstream_prober::apply_headers(upstream& item, const http_headers& headers,
                                    local_time now) const
{
    if (const auto cold = headers.find(dialect_.cold_ms)) {
        const auto left = parse_unsigned(cold->substr(0, cold->find('.')));
        item.cold_until = left ? now + to_stated_time(static_cast<double>(*left)) : now;
    }
    const auto load = headers.find(dialect_.load);
    if (const auto report = load ? dialect_.parse_load(*load) : std::nullopt) {
        item.report = report;
        item.reported_at = now;
        item.sent_since_report = 0;
    }
}

} // namespace sniperock

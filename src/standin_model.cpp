/** @file standin_model.cpp Decides what a stand-in server does with each call. */
#include "standin_model.hpp"

#include <algorithm>
#include <random>

namespace sniperock {

server_model::server_model(server_behaviour behaviour, local_time now)
    : behaviour_(std::move(behaviour)), random_(behaviour_.seed), cold_until_(now),
      grace_until_(now), down_until_(now), slow_until_(now), spell_begin_(now)
{
    if (behaviour_.cold_time.count() > 0 && !behaviour_.starts_warm) {
        start_cold(now, milliseconds{0});
    }
    if (behaviour_.spell_every.count() > 0) {
        spell_begin_ += nanoseconds{static_cast<std::int64_t>(
            exponential(static_cast<double>(nanoseconds{behaviour_.spell_every}.count())))};
    }
    note_load(now);
}

double server_model::exponential(double mean)
{
    std::exponential_distribution<double> draw(1.0 / mean);
    return draw(random_);
}

void server_model::start_cold(local_time now, milliseconds grace)
{
    record_.phase = server_phase::cold;
    cold_until_ = now + behaviour_.cold_time;
    cold_calls_left_ = behaviour_.cold_calls;
    grace_until_ = now + grace;
}

void server_model::drop_calls()
{
    waiting_.clear();
    first_current_ = next_ticket_;
    record_.running = 0;
    record_.in_flight = 0;
}

void server_model::fall_over(local_time now)
{
    ++record_.fell_over;
    drop_calls();
    record_.down = true;
    down_until_ = now + behaviour_.down_time;
    start_cold(down_until_, milliseconds{0});
    note_load(now);
}

void server_model::restart(local_time now)
{
    drop_calls();
    record_.down = false;
    start_cold(now, milliseconds{0});
    note_load(now);
}

void server_model::advance(local_time now)
{
    if (record_.down && now >= down_until_) {
        record_.down = false;
    }
    const bool timed = behaviour_.cold_time.count() > 0;
    if (record_.phase == server_phase::cold && timed && now >= cold_until_) {
        record_.phase = server_phase::warm;
        note_load(now);
    }
}

bool server_model::is_current(call_ticket ticket) const
{
    return ticket.value >= first_current_;
}

arrival server_model::begin(local_time now)
{
    const call_ticket ticket{next_ticket_++};
    ++record_.in_flight;
    record_.most_in_flight = std::max(record_.most_in_flight, record_.in_flight);
    note_load(now);
    if (record_.running >= behaviour_.slots) {
        waiting_.push_back(ticket);
        return {arrival_verdict::wait, ticket};
    }
    ++record_.running;
    ++record_.calls;
    record_.most_running = std::max(record_.most_running, record_.running);
    return {arrival_verdict::run, ticket};
}

arrival server_model::arrive(local_time now, bool late)
{
    advance(now);
    if (record_.down) {
        return {arrival_verdict::down, {}};
    }
    if (late) {
        ++record_.late;
        return {arrival_verdict::late, {}};
    }
    const bool full =
        record_.running >= behaviour_.slots && waiting_.size() >= behaviour_.queue_limit;
    if (shed_ || record_.phase == server_phase::draining || full) {
        ++record_.shed;
        return {arrival_verdict::shed, {}};
    }
    if (fail_fast_) {
        ++record_.failed_fast;
        return {arrival_verdict::fail_fast, {}};
    }
    if (record_.phase == server_phase::cold && now >= grace_until_) {
        record_.most_cold_in_flight = std::max(record_.most_cold_in_flight, record_.in_flight + 1);
        if (record_.in_flight >= behaviour_.cold_slots) {
            record_.most_in_flight = std::max(record_.most_in_flight, record_.in_flight + 1);
            fall_over(now);
            return {arrival_verdict::fall_over, {}};
        }
    }
    return begin(now);
}

std::optional<call_ticket> server_model::finish(call_ticket ticket, local_time now)
{
    if (!is_current(ticket)) {
        return std::nullopt;
    }
    advance(now);
    --record_.running;
    --record_.in_flight;
    if (record_.phase == server_phase::cold && cold_calls_left_ > 0 && --cold_calls_left_ == 0) {
        record_.phase = server_phase::warm;
    }
    note_load(now);
    if (waiting_.empty() || record_.running >= behaviour_.slots) {
        return std::nullopt;
    }
    const auto next = waiting_.front();
    waiting_.pop_front();
    ++record_.running;
    ++record_.calls;
    record_.most_running = std::max(record_.most_running, record_.running);
    return next;
}

void server_model::abandon(call_ticket ticket, local_time now)
{
    if (std::erase(waiting_, ticket) > 0) {
        --record_.in_flight;
        note_load(now);
    }
}

double server_model::slowness(local_time now)
{
    double factor = record_.phase == server_phase::cold ? behaviour_.cold_factor : 1.0;
    if (now < slow_until_) {
        factor *= slow_factor_;
    }
    if (behaviour_.spell_every.count() == 0) {
        return factor;
    }
    while (now >= spell_begin_ + behaviour_.spell_time) {
        spell_begin_ += behaviour_.spell_time;
        spell_begin_ += nanoseconds{static_cast<std::int64_t>(
            exponential(static_cast<double>(nanoseconds{behaviour_.spell_every}.count())))};
    }
    return now >= spell_begin_ ? factor * behaviour_.spell_factor : factor;
}

microseconds server_model::draw_service_time(local_time now)
{
    if (behaviour_.service_time.count() == 0) {
        return microseconds{0};
    }
    const double mean = static_cast<double>(behaviour_.service_time.count()) * slowness(now);
    return microseconds{static_cast<std::int64_t>(exponential(mean))};
}

void server_model::command(const server_command& order, local_time now)
{
    advance(now);
    if (order.phase == server_phase::cold) {
        start_cold(now, behaviour_.cold_grace);
    }
    else if (order.phase) {
        record_.phase = *order.phase;
    }
    shed_ = order.shed.value_or(shed_);
    fail_fast_ = order.fail_fast.value_or(fail_fast_);
    if (order.slow_factor) {
        slow_factor_ = *order.slow_factor;
        slow_until_ = now + order.slow_time;
    }
    behaviour_.service_time = order.service_time.value_or(behaviour_.service_time);
    behaviour_.slots = order.slots.value_or(behaviour_.slots);
    behaviour_.cold_slots = order.cold_slots.value_or(behaviour_.cold_slots);
    behaviour_.report_lag = order.report_lag.value_or(behaviour_.report_lag);
    fixed_report_ = order.report.value_or(fixed_report_);
    if (order.restart) {
        restart(now);
    }
    note_load(now);
}

void server_model::note_load(local_time now)
{
    if (behaviour_.report_lag.count() == 0) {
        history_.clear();
        return;
    }
    history_.push_back({now, record_.phase, record_.in_flight});
    while (history_.size() > 1 && history_.at(1).at <= now - behaviour_.report_lag) {
        history_.pop_front();
    }
}

std::string server_model::report(local_time now)
{
    advance(now);
    if (!fixed_report_.empty()) {
        return fixed_report_;
    }
    load_sample shown{now, record_.phase, record_.in_flight};
    if (!history_.empty()) {
        const auto seen = now - behaviour_.report_lag;
        const auto newer = std::ranges::upper_bound(history_, seen, {}, &load_sample::at);
        shown = newer == history_.begin() ? history_.front() : *std::prev(newer);
    }
    std::string text = "phase=";
    text.append(to_name(shown.phase)).append(";in_flight=");
    text.append(std::to_string(shown.in_flight)).append(";slots=");
    text.append(std::to_string(behaviour_.slots));
    return text;
}

const server_record& server_model::record(local_time now)
{
    advance(now);
    return record_;
}

} // namespace sniperock

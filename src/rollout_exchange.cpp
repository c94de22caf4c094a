/** @file rollout_exchange.cpp Judges roll-outs together with the other VMs, and writes their
 * status.
 */
#include "rollout_exchange.hpp"

#include "event_type.hpp"
#include "hash_func.hpp"

#include <algorithm>
#include <ranges>

namespace sniperock {
namespace {

/** Judges of an order; two of them may be lost or out of reach. */
constexpr std::size_t judge_count = 3;
/** Those, and the VMs that write a verdict in their place: the store may turn away all judges. */
constexpr std::size_t writer_count = 8;
/** Interval of a VM's reports. An undetected bad version costs a part of the callers' requests, and
 * a report costs three datagrams. */
constexpr milliseconds report_interval{400};
/** The same while all requests move, when a fault matters most. */
constexpr milliseconds urgent_report_interval{200};
/** Time by which each further judge decides, and writes, later than the one before. */
constexpr milliseconds decision_delay{300};
constexpr milliseconds write_delay{700};
/** Pause after a write without an answer; the store may be down. The others' is longer. */
constexpr milliseconds write_pause{500};
constexpr milliseconds substitute_write_pause{3000};
/** The status is written when an order is this old: a judge knows its fleet then. */
constexpr milliseconds running_written_at{500};
/** A VM whose watch lags learns of a status within this time. */
constexpr seconds status_lag{6};
/** A process that did not run for the first time decides nothing for the second: what it knows is
 * old, and others may have decided. All VMs report to judges more often. */
constexpr milliseconds longest_tick{1000};
constexpr milliseconds catch_up_time{1000};
/** Attempts to write the status of an order end this long after its deadline. */
constexpr seconds write_for{60};

} // namespace

void rollout_exchange::tick(local_time now)
{
    if (!board_.enabled()) {
        return;
    }
    if (last_tick_ && now - *last_tick_ > longest_tick) {
        caught_up_at_ = now + catch_up_time;
    }
    last_tick_ = now;
    std::erase_if(progress_,
                  [this](const auto& item) { return board_.find(item.first) == nullptr; });
    for (const auto* item : board_.records()) {
        if (!item->withdrawn && item->age(now) < item->order.duration + write_for) {
            follow(*item, now);
        }
    }
}

void rollout_exchange::follow(const rollout_record& item, local_time now)
{
    const auto writers = writers_of(item.order.id);
    const auto count = static_cast<std::ptrdiff_t>(std::min(judge_count, writers.size()));
    const std::vector<std::string> judges(writers.begin(), writers.begin() + count);
    if (item.undecided()) {
        report(item, judges, now);
    }
    const auto own = std::ranges::find(writers, transport_.self);
    if (own == writers.end() || !transport_.sees_most() || now < caught_up_at_) {
        return;
    }
    const auto rank = static_cast<std::size_t>(own - writers.begin());
    if (item.undecided() && rank < judge_count) {
        judge(item, rank, now);
    }
    write_due(item, rank, now);
}

/** The VMs that may write an order's status, first those that judge it. */
std::vector<std::string> rollout_exchange::writers_of(const rollout_id& id) const
{
    auto all = transport_.others();
    all.push_back(transport_.self);
    const auto count = std::min(writer_count, all.size());
    const auto end = all.begin() + static_cast<std::ptrdiff_t>(count);
    std::ranges::partial_sort(
        all, end, {}, [id](const std::string& address) { return stable_hash(address, id.value); });
    all.erase(end, all.end());
    return all;
}

/** Sends this VM's evidence to the judges. */
void rollout_exchange::report(const rollout_record& item, const std::vector<std::string>& judges,
                              local_time now)
{
    auto& state = progress_[item.order.id];
    if (now < state.next_report) {
        return;
    }
    state.next_report =
        now + (item.state == rollout_state::promoting ? urgent_report_interval : report_interval);
    auto message = board_.report_of(item.order.id, true, now);
    if (!message) {
        return;
    }
    message->stable_running = transport_.room(item.order).stable_running;
    auto to = judges;
    std::erase(to, transport_.self);
    if (!to.empty()) {
        transport_.send(*message, to);
    }
}

void rollout_exchange::judge(const rollout_record& item, std::size_t rank, local_time now)
{
    const auto& id = item.order.id;
    const auto room = transport_.room(item.order);
    const rollout_progress progress{item.order.duration,
                                    item.age(now),
                                    item.state,
                                    item.state_age(now),
                                    board_.evidence_of(id, now),
                                    room.target_slots,
                                    room.stable_slots,
                                    room.stable_running + board_.reported_stable_running(id, now)};
    const auto decision = decide_rollout(progress);
    auto& state = progress_[id];
    if (decision.step != std::exchange(state.due, decision.step)) {
        state.due_since.reset();
    }
    if (decision.step == rollout_step::wait) {
        return;
    }
    if (!state.due_since) {
        state.due_since = now;
    }
    if (now - *state.due_since >= decision_delay * rank) {
        act(item, progress, decision, now);
    }
}

void rollout_exchange::act(const rollout_record& item, const rollout_progress& progress,
                           const rollout_decision& decision, local_time now)
{
    const auto id = item.order.id;
    switch (decision.step) {
    case rollout_step::promote:
        board_.enter(id, rollout_state::promoting, now);
        tell_all(id, now);
        break;
    case rollout_step::condemn: {
        const auto& found = *decision.finding;
        const auto& [target, stable] = found.evidence;
        log_event(event::rollout_judged,
                  {{"service", item.order.service},
                   {"version", item.order.target_version},
                   {"fault", std::string{to_name(found.fault)}},
                   {"route_hash", hex_text(found.route)},
                   {"ran", std::to_string(target.ran)},
                   {"failed", std::to_string(target.failed)},
                   {"log_time", std::to_string(target.log_time)},
                   {"timed", std::to_string(target.timed)},
                   {"stable_ran", std::to_string(stable.ran)},
                   {"stable_failed", std::to_string(stable.failed)},
                   {"stable_log_time", std::to_string(stable.log_time)},
                   {"stable_timed", std::to_string(stable.timed)},
                   {"slots", std::to_string(progress.target_slots)},
                   {"stable_slots", std::to_string(progress.stable_slots)},
                   {"stable_running", std::to_string(progress.stable_running)}});
        board_.enter(id, rollout_state::condemned, now);
        tell_all(id, now);
        break;
    }
    case rollout_step::succeed:
        // The VMs learn of it once the store has accepted it.
        write(item, rollout_state::succeeded, now);
        break;
    case rollout_step::wait:
        break;
    }
}

/** Writes the status that the store lacks. */
void rollout_exchange::write_due(const rollout_record& item, std::size_t rank, local_time now)
{
    if (now - item.state_since < write_delay * rank) {
        return;
    }
    progress_[item.order.id].pause = rank < judge_count ? write_pause : substitute_write_pause;
    if (item.state == rollout_state::condemned) {
        write(item, rollout_state::rolled_back, now);
    }
    else if (is_final(item.state) && item.stored_state != item.state &&
             now - item.state_since >= status_lag) {
        // A store that was restored from a copy has lost it.
        write(item, item.state, now);
    }
    else if (item.undecided() && rank == 0 && !item.stored_state &&
             item.age(now) >= running_written_at) {
        write(item, rollout_state::running, now);
    }
}

void rollout_exchange::write(const rollout_record& item, rollout_state state, local_time now)
{
    auto& progress = progress_[item.order.id];
    if (!item.revision || progress.writing || now < progress.next_write) {
        return;
    }
    progress.writing = true;
    transport_.write(item, state);
}

void rollout_exchange::written(const rollout_id& id, const std::optional<stored_rollout>& stored,
                               local_time now)
{
    const auto found = progress_.find(id);
    if (found != progress_.end()) {
        found->second.writing = false;
        found->second.next_write = stored ? now : now + found->second.pause;
    }
    const auto* item = board_.find(id);
    if (!stored || item == nullptr) {
        return;
    }
    const auto before = item->state;
    board_.apply(*stored, now);
    item = board_.find(id);
    if (item != nullptr && item->state != before) {
        tell_all(id, now);
    }
}

/** Tells all VMs the state of an order. */
void rollout_exchange::tell_all(const rollout_id& id, local_time now)
{
    if (const auto message = board_.report_of(id, false, now)) {
        transport_.send(*message, transport_.others());
    }
}

} // namespace sniperock

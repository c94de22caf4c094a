/** @file rollout_exchange.hpp Judges roll-outs together with the other VMs, and writes their
 * status.
 */
#pragma once

#include "rollout_board.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace sniperock {

/** Upstreams of a service that may be used, as far as a verdict needs them. */
struct rollout_room {
    std::size_t target_slots = 0;
    std::size_t stable_slots = 0;
    /** Requests of this VM that run at the old version. */
    std::uint64_t stable_running = 0;
};

/** What the exchange needs of the rest of the process. */
struct rollout_transport {
    /** Address of this VM. */
    std::string self;
    /** Addresses of all other VMs that are alive. */
    std::function<std::vector<std::string>()> others;
    /** False if most VMs that may be running are silent: then this VM is probably cut off. */
    std::function<bool()> sees_most;
    std::function<void(const rollout_report&, const std::vector<std::string>& to)> send;
    std::function<rollout_room(const rollout_order&)> room;
    /** Writes the state of an order to the store; ends with a call of written(). */
    std::function<void(const rollout_record&, rollout_state)> write;
};

/**
 * For each order, a few VMs chosen by a hash are its judges. All VMs report to them what they see.
 * Each judge decides by itself, the second and third a little later than the first unless that has
 * told them; whoever decides tells all VMs at once, and heartbeats repeat it. The judges write the
 * status in the same order, on the condition that the order has not changed: the store decides
 * which of two verdicts holds.
 */
class rollout_exchange {
public:
    rollout_exchange(rollout_board& board, rollout_transport transport)
        : board_(board), transport_(std::move(transport))
    {
    }

    /** Reports, judges and writes what is due; called some ten times a second. */
    void tick(local_time now);
    /** A write has ended. @param stored the order as the store holds it; empty if it did not
     * answer. */
    void written(const rollout_id& id, const std::optional<stored_rollout>& stored, local_time now);

private:
    struct follow_up {
        local_time next_report;
        /** Since when the decision is due that this VM has not made yet. */
        std::optional<local_time> due_since;
        rollout_step due = rollout_step::wait;
        bool writing = false;
        local_time next_write;
        /** After a write without an answer. */
        milliseconds pause{0};
    };

    void follow(const rollout_record& item, local_time now);
    void report(const rollout_record& item, const std::vector<std::string>& judges, local_time now);
    void judge(const rollout_record& item, std::size_t rank, local_time now);
    void act(const rollout_record& item, const rollout_progress& progress,
             const rollout_decision& decision, local_time now);
    void write_due(const rollout_record& item, std::size_t rank, local_time now);
    void write(const rollout_record& item, rollout_state state, local_time now);
    void tell_all(const rollout_id& id, local_time now);
    [[nodiscard]] std::vector<std::string> writers_of(const rollout_id& id) const;

    rollout_board& board_;
    rollout_transport transport_;
    std::map<rollout_id, follow_up> progress_;
    std::optional<local_time> last_tick_;
    /** Until then, others may have decided what this VM has not heard of. */
    local_time caught_up_at_;
};

} // namespace sniperock

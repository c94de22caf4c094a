/** @file standin_model.hpp Decides what a stand-in server does with each call; no sockets, time
 * passed in. */
#pragma once

#include "random_type.hpp"
#include "standin_type.hpp"
#include "strong_id.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace sniperock {

/** Names one call inside a stand-in server. */
using call_ticket = strong_id<struct call_ticket_tag, std::uint64_t>;

/** What a call meets on arrival. */
enum class arrival_verdict {
    /** Runs at once. */
    run,
    /** Waits for a slot. */
    wait,
    /** Is refused as not run. */
    shed,
    /** Arrived after its deadline and is refused as not run. */
    late,
    /** Gets a 500 at once. */
    fail_fast,
    /** Was one more than the cold server bears: every connection is dropped. */
    fall_over,
    /** The server serves nobody. */
    down,
};

/** A verdict and the ticket of a call that runs or waits. */
struct arrival {
    arrival_verdict verdict = arrival_verdict::down;
    call_ticket ticket;
};

/** Slots, queue, phases and faults of one stand-in server; the caller serialises access. */
class server_model {
public:
    server_model(server_behaviour behaviour, local_time now);

    /** Takes in a call. @param late its deadline has passed. */
    arrival arrive(local_time now, bool late);
    /** Draws the service time of a call that begins now. */
    microseconds draw_service_time(local_time now);
    /** Ends a running call. @return the waiting call that begins to run in its place. */
    std::optional<call_ticket> finish(call_ticket ticket, local_time now);
    /** Forgets a waiting call. */
    void abandon(call_ticket ticket, local_time now);
    /** Changes the behaviour; dying and silence concern connections and are not handled here. */
    void command(const server_command& order, local_time now);
    /** Forgets all calls and starts cold. */
    void restart(local_time now);
    /** The load as reported now, in the form of the load header. */
    std::string report(local_time now);
    /** Moves the phase on and copies counts and phase out. */
    const server_record& record(local_time now);
    /** The counts, for those that the connections add to. */
    server_record& counts() { return record_; }
    [[nodiscard]] const server_behaviour& behaviour() const { return behaviour_; }
    /** True if @p ticket belongs to a call that was not dropped since. */
    [[nodiscard]] bool is_current(call_ticket ticket) const;

private:
    struct load_sample {
        local_time at;
        server_phase phase = server_phase::warm;
        std::uint32_t in_flight = 0;
    };

    void advance(local_time now);
    void start_cold(local_time now, milliseconds grace);
    void drop_calls();
    void fall_over(local_time now);
    arrival begin(local_time now);
    void note_load(local_time now);
    double slowness(local_time now);
    double exponential(double mean);

    server_behaviour behaviour_;
    random_engine random_;
    server_record record_;
    std::deque<call_ticket> waiting_;
    std::deque<load_sample> history_;
    std::uint64_t next_ticket_ = 1;
    /** Tickets below this were dropped. */
    std::uint64_t first_current_ = 1;
    local_time cold_until_;
    local_time grace_until_;
    std::uint64_t cold_calls_left_ = 0;
    local_time down_until_;
    local_time slow_until_;
    double slow_factor_ = 1.0;
    local_time spell_begin_;
    bool shed_ = false;
    bool fail_fast_ = false;
    std::string fixed_report_;
};

} // namespace sniperock

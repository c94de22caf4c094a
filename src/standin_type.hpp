/** @file standin_type.hpp How a stand-in server behaves, what it is told and what it saw. */
#pragma once

#include "clock_type.hpp"
#include "dispatch_type.hpp"
#include "enum_table.hpp"

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace sniperock {

/** How a stand-in server behaves from its start. */
struct server_behaviour {
    std::string name;
    /** Calls that run at a time; more wait inside the server in order of arrival. */
    std::uint32_t slots = 3;
    /** Calls at a time, waiting ones included, that it bears while cold; one more and it falls
     * over. */
    std::uint32_t cold_slots = 1;
    /** Calls that wait; more are shed. */
    std::uint32_t queue_limit = 64;
    /** Mean of the exponentially distributed service time; 0 answers at once. */
    microseconds service_time{5000};
    /** Time from open to the first read of a connection. */
    microseconds connect_time{0};
    /** Time that a probe takes. */
    microseconds probe_time{5000};
    /** Size of each answer's body in bytes. */
    std::size_t answer_bytes = 1024;
    std::uint64_t seed = 1;
    /** Time from a cold start until warm; 0 has no cold start at the beginning. */
    milliseconds cold_time{0};
    /** Begins warm, whatever cold_time says; later starts are cold. */
    bool starts_warm = false;
    /** Calls finished until warm, if that comes before cold_time; 0 counts none. */
    std::uint64_t cold_calls = 0;
    /** Factor on the service time while cold. */
    double cold_factor = 3.0;
    /** Time after a sudden turn to cold in which it still bears its warm load. */
    milliseconds cold_grace{0};
    /** Time for which it serves nobody after falling over. */
    milliseconds down_time{500};
    /** Age of the load that it reports. */
    milliseconds report_lag{0};
    /** Mean time between random slow spells; 0 has none. */
    milliseconds spell_every{0};
    /** Length of a random slow spell. */
    milliseconds spell_time{200};
    /** Factor on the service time in a random slow spell. */
    double spell_factor = 5.0;
    /** Finished calls kept in the record. */
    std::size_t record_limit = 1000;
};

/** At which point of a call the server breaks its connection. */
enum class server_death { before_run, in_run, after_run, in_body };

template <>
inline constexpr std::array enum_names<server_death>{
    enum_name<server_death>{server_death::before_run, "before"},
    enum_name<server_death>{server_death::in_run, "in"},
    enum_name<server_death>{server_death::after_run, "after"},
    enum_name<server_death>{server_death::in_body, "body"},
};

/** A change of behaviour on command; absent fields stay as they are. */
struct server_command {
    /** cold turns cold without warning, draining sheds new calls, warm ends either. */
    std::optional<server_phase> phase;
    /** Sheds every call truthfully. */
    std::optional<bool> shed;
    /** Answers every call with 500 at once. */
    std::optional<bool> fail_fast;
    /** Factor on the service time for slow_time. */
    std::optional<double> slow_factor;
    milliseconds slow_time{1000};
    std::optional<microseconds> service_time;
    std::optional<std::uint32_t> slots;
    std::optional<std::uint32_t> cold_slots;
    std::optional<milliseconds> report_lag;
    /** Reports this constant text; an empty one ends it. */
    std::optional<std::string> report;
    /** Connections that are open now neither answer nor close from here on. */
    bool silence = false;
    /** Drops every connection and comes back cold at once. */
    bool restart = false;
    /** The next die_calls calls break their connections at this point. */
    std::optional<server_death> die;
    std::uint32_t die_calls = 1;
};

/** One call that ran, or is running. */
struct server_run {
    std::string call_id;
    std::string request_id;
    std::string idempotency_key;
    wall_time start;
    wall_time end;
    /** Calls running when it began, itself included. */
    std::uint32_t concurrency = 0;
};

/** What a stand-in server saw. */
struct server_record {
    /** Calls that began to run. */
    std::uint64_t calls = 0;
    std::uint64_t probes = 0;
    /** Refused as not run because of a full queue, a drain or a command. */
    std::uint64_t shed = 0;
    /** Refused as not run because their deadline had passed. */
    std::uint64_t late = 0;
    /** Ended because the peer closed its connection. */
    std::uint64_t cancelled = 0;
    /** Ended at their deadline while running. */
    std::uint64_t abandoned = 0;
    std::uint64_t failed_fast = 0;
    /** Connections broken on command. */
    std::uint64_t died = 0;
    std::uint64_t fell_over = 0;
    std::uint64_t connections = 0;
    /** Running and waiting now. */
    std::uint32_t in_flight = 0;
    std::uint32_t running = 0;
    /** Most running and waiting at a time, ever. */
    std::uint32_t most_in_flight = 0;
    std::uint32_t most_running = 0;
    /** Most running and waiting at a time while cold. */
    std::uint32_t most_cold_in_flight = 0;
    server_phase phase = server_phase::warm;
    /** Serves nobody after falling over. */
    bool down = false;
    /** The last finished calls, oldest first. */
    std::deque<server_run> runs;
};

} // namespace sniperock

/** @file dispatch_type.hpp What a call asks of the dispatcher and what it is told. */
#pragma once

#include "clock_type.hpp"
#include "config_type.hpp"
#include "enum_table.hpp"
#include "strong_id.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace sniperock {

/** Whether a call may run more than once. */
enum class call_class {
    /** Changes nothing: GET, HEAD, OPTIONS. */
    safe,
    /** May be repeated: PUT, DELETE. */
    idempotent,
    /** Runs at most once: POST, PATCH and the rest. */
    non_idempotent,
};

template <>
inline constexpr std::array enum_names<call_class>{
    enum_name<call_class>{call_class::safe, "safe"},
    enum_name<call_class>{call_class::idempotent, "idempotent"},
    enum_name<call_class>{call_class::non_idempotent, "non_idempotent"},
};

/** What a caller is told about the fate of its request. */
enum class call_outcome { answered, not_run, unknown };

template <>
inline constexpr std::array enum_names<call_outcome>{
    enum_name<call_outcome>{call_outcome::answered, "answered"},
    enum_name<call_outcome>{call_outcome::not_run, "not-run"},
    enum_name<call_outcome>{call_outcome::unknown, "unknown"},
};

/** Why a call got no slot. */
enum class refusal_reason {
    unknown_service,
    no_servers,
    queue_full,
    deadline,
    plan_rate,
    plan_concurrency,
    no_allowance,
    shutting_down,
};

template <>
inline constexpr std::array enum_names<refusal_reason>{
    enum_name<refusal_reason>{refusal_reason::unknown_service, "unknown-service"},
    enum_name<refusal_reason>{refusal_reason::no_servers, "no-servers"},
    enum_name<refusal_reason>{refusal_reason::queue_full, "queue-full"},
    enum_name<refusal_reason>{refusal_reason::deadline, "deadline"},
    enum_name<refusal_reason>{refusal_reason::plan_rate, "plan-rate"},
    enum_name<refusal_reason>{refusal_reason::plan_concurrency, "plan-concurrency"},
    enum_name<refusal_reason>{refusal_reason::no_allowance, "no-allowance"},
    enum_name<refusal_reason>{refusal_reason::shutting_down, "shutting-down"},
};

/** A server's own word on its phase. */
enum class server_phase { cold, warm, draining };

template <>
inline constexpr std::array enum_names<server_phase>{
    enum_name<server_phase>{server_phase::cold, "cold"},
    enum_name<server_phase>{server_phase::warm, "warm"},
    enum_name<server_phase>{server_phase::draining, "draining"},
};

/** Identifies a call that waits for a slot; 0 if it does not wait. */
using call_ticket = strong_id<struct call_ticket_tag, std::uint64_t>;

/** A call that wants a slot on some server of a service. */
struct call_spec {
    std::string service;
    std::string plan;
    call_class kind = call_class::safe;
    /** Past this the caller has no use for the answer. */
    local_time deadline;
    /** Names of servers that were tried already. */
    std::vector<std::string> avoid;
};

/** The right to run one call on one server until a time. */
struct grant {
    permit_id permit;
    server_key server;
    std::string address;
    std::uint16_t port = 0;
    /** The server must not start the call after this. */
    wall_time fence;
    /** Vm that owns the server; empty if it is this one. */
    std::string owner;
};

/** No slot: the call was not run. */
struct refusal {
    refusal_reason reason = refusal_reason::no_servers;
    /** When asking again may help; 0 if it will not. */
    milliseconds retry_after{0};
};

using grant_result = std::variant<grant, refusal>;
/** Called once with the result, on any thread, with no lock held. */
using grant_handler = std::function<void(grant_result)>;

/** Load as a server reported it with an answer or a probe. */
struct load_report {
    server_phase phase = server_phase::warm;
    std::uint32_t in_flight = 0;
    std::uint32_t slots = 0;
};

/** How a granted call ended. */
enum class call_result {
    /** A whole answer came. */
    answered,
    /** The server said that it did not run the call. */
    shed,
    /** The connection could not be opened; nothing was sent. */
    not_sent,
    /** The connection broke or went silent after something was sent. */
    failed,
    /** The caller went away or a deadline passed. */
    cancelled,
};

/** What the entry vm saw of a granted call. */
struct call_report {
    call_result result = call_result::answered;
    nanoseconds latency{0};
    std::optional<load_report> load;
    /** The server answered with a status of 500 or above. */
    bool server_error = false;
};

} // namespace sniperock

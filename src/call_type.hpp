/** @file call_type.hpp How calls and attempts end. */
#pragma once

#include "enum_table.hpp"
#include "http_type.hpp"

#include <array>

namespace sniperock {

/** How an attempt at an upstream ended. */
enum class attempt_end {
    /** The answer of the upstream is complete. */
    answered,
    /** The answer is streamed to the caller by the attempt itself. */
    streamed,
    /** The upstream stated that it did not execute the request. */
    not_executed,
    /** A different upstream answered at this address. */
    misdirected,
    /** No byte of the request was sent. */
    not_sent,
    /** The connection closed or failed, or the answer is invalid; the request may have been
     * executed. */
    broken,
    /** The upstream's load reports show that no answer will come; the request may have been
     * executed. */
    silent,
    /** The call ended before the attempt. */
    cancelled,
};

template <>
inline constexpr std::array enum_names<attempt_end>{
    enum_name<attempt_end>{attempt_end::answered, "answered"},
    enum_name<attempt_end>{attempt_end::streamed, "streamed"},
    enum_name<attempt_end>{attempt_end::not_executed, "not-executed"},
    enum_name<attempt_end>{attempt_end::misdirected, "misdirected"},
    enum_name<attempt_end>{attempt_end::not_sent, "not-sent"},
    enum_name<attempt_end>{attempt_end::broken, "broken"},
    enum_name<attempt_end>{attempt_end::silent, "silent"},
    enum_name<attempt_end>{attempt_end::cancelled, "cancelled"},
};

/** Where a request comes from. */
enum class call_origin {
    caller,
    /** Another VM that cannot reach the upstreams; such a request is not passed on again. */
    relay,
};

/** How a call ended. */
enum class call_end {
    /** An upstream's answer was forwarded to the caller. */
    answered,
    /** No route matches. */
    no_route,
    /** The route needs the key of a client account, and the request states none that is known. */
    unknown_account,
    /** The client account has used up its quota. */
    over_quota,
    /** No configuration has been received yet. */
    no_configuration,
    /** No upstream is usable. */
    no_upstream,
    /** No upstream has a free slot. */
    no_slot,
    /** All usable upstreams have reached the limit that they advertise. */
    limited,
    /** Refused in favour of requests of higher priority. */
    yielded,
    /** Upstreams ended while they ran the same request; it is not sent for a time. */
    quarantined,
    /** Upstreams refused the request, or it was never sent; it was not executed. */
    not_run,
    /** No answer was received; the request may have been executed. */
    failed,
    /** The deadline passed; the request may have been executed. */
    timed_out,
    /** The deadline passed before the request was sent. */
    expired,
    /** The caller closed the connection. */
    abandoned,
    /** The VM exits before the request could be answered; it was not executed. */
    leaving,
    /** The VM exits before the answer was received; the request may have been executed. */
    cut_off,
};

template <>
inline constexpr std::array enum_names<call_end>{
    enum_name<call_end>{call_end::answered, "answered"},
    enum_name<call_end>{call_end::no_route, "no-route"},
    enum_name<call_end>{call_end::unknown_account, "unknown-account"},
    enum_name<call_end>{call_end::over_quota, "over-quota"},
    enum_name<call_end>{call_end::no_configuration, "no-configuration"},
    enum_name<call_end>{call_end::no_upstream, "no-upstream"},
    enum_name<call_end>{call_end::no_slot, "no-slot"},
    enum_name<call_end>{call_end::limited, "limited"},
    enum_name<call_end>{call_end::yielded, "yielded"},
    enum_name<call_end>{call_end::quarantined, "quarantined"},
    enum_name<call_end>{call_end::not_run, "not-run"},
    enum_name<call_end>{call_end::failed, "failed"},
    enum_name<call_end>{call_end::timed_out, "timed-out"},
    enum_name<call_end>{call_end::expired, "expired"},
    enum_name<call_end>{call_end::abandoned, "abandoned"},
    enum_name<call_end>{call_end::leaving, "leaving"},
    enum_name<call_end>{call_end::cut_off, "cut-off"},
};

/** Whether a request may be repeated, or why not. A repeat is a retry or a hedge. */
enum class repeat_verdict {
    allowed,
    /** The maximum number of attempts of the route, or of upstreams tried per call, is reached. */
    most_sends,
    /** Too little time is left before the deadline. */
    no_time,
    /** Part of its body was sent on and discarded. */
    body_discarded,
    /** It may have been executed already, and requests of its kind must not run twice. */
    may_have_run,
    /** The repeat budget of the service is exhausted. */
    no_budget,
    /** An upstream ended, probably because it ran the request. */
    ended_upstream,
};

template <>
inline constexpr std::array enum_names<repeat_verdict>{
    enum_name<repeat_verdict>{repeat_verdict::allowed, "allowed"},
    enum_name<repeat_verdict>{repeat_verdict::most_sends, "most-sends"},
    enum_name<repeat_verdict>{repeat_verdict::no_time, "no-time"},
    enum_name<repeat_verdict>{repeat_verdict::body_discarded, "body-discarded"},
    enum_name<repeat_verdict>{repeat_verdict::may_have_run, "may-have-run"},
    enum_name<repeat_verdict>{repeat_verdict::no_budget, "no-budget"},
    enum_name<repeat_verdict>{repeat_verdict::ended_upstream, "ended-upstream"},
};

/** Status of an answer that this VM generates; 503 guarantees that the request did not run. */
constexpr int status_of(call_end end)
{
    switch (end) {
    case call_end::no_route:
        return http_status::not_found;
    case call_end::unknown_account:
        return http_status::unauthorized;
    case call_end::over_quota:
        return http_status::too_many_requests;
    case call_end::failed:
        return http_status::bad_gateway;
    case call_end::cut_off:
    case call_end::timed_out:
        return http_status::gateway_timeout;
    default:
        return http_status::unavailable;
    }
}

} // namespace sniperock

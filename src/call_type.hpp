/** @file call_type.hpp How calls and attempts end. */
#pragma once

#include "enum_table.hpp"
#include "http_type.hpp"

#include <array>

namespace sniperock {

/** How an attempt at an upstream ended. */
enum class attempt_end {
    /** The upstream's answer is whole. */
    answered,
    /** The answer is being passed on in pieces; the attempt sees to its end. */
    streamed,
    /** The upstream said that it did not run the request. */
    not_executed,
    /** The upstream at this address is another one. */
    misdirected,
    /** No byte of the request was sent. */
    not_sent,
    /** The connection ended or broke, or what came is not an answer: it may have run. */
    broken,
    /** The call ended first. */
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
    enum_name<attempt_end>{attempt_end::cancelled, "cancelled"},
};

/** How a call ended. */
enum class call_end {
    /** An upstream's answer was passed on. */
    answered,
    /** No route matches. */
    no_route,
    /** No configuration is known yet. */
    no_configuration,
    /** No upstream may be used. */
    no_upstream,
    /** No upstream has a free slot. */
    no_slot,
    /** The slots are left to more urgent requests. */
    yielded,
    /** Upstreams refused it, or it was never sent; it did not run. */
    not_run,
    /** It may have run; no answer came. */
    failed,
    /** The time was up; it may have run. */
    timed_out,
    /** The time was up before it was sent. */
    expired,
    /** The caller left. */
    abandoned,
};

template <>
inline constexpr std::array enum_names<call_end>{
    enum_name<call_end>{call_end::answered, "answered"},
    enum_name<call_end>{call_end::no_route, "no-route"},
    enum_name<call_end>{call_end::no_configuration, "no-configuration"},
    enum_name<call_end>{call_end::no_upstream, "no-upstream"},
    enum_name<call_end>{call_end::no_slot, "no-slot"},
    enum_name<call_end>{call_end::yielded, "yielded"},
    enum_name<call_end>{call_end::not_run, "not-run"},
    enum_name<call_end>{call_end::failed, "failed"},
    enum_name<call_end>{call_end::timed_out, "timed-out"},
    enum_name<call_end>{call_end::expired, "expired"},
    enum_name<call_end>{call_end::abandoned, "abandoned"},
};

/** Whether a request is sent once more, or why not. */
enum class repeat_verdict {
    allowed,
    /** As many upstreams as the route allows have had it, or as are tried at most. */
    most_sends,
    /** Too little time is left. */
    no_time,
    /** It may have run, and its kind may not run twice. */
    may_have_run,
    /** The budget of the service's repeats is spent. */
    no_budget,
};

template <>
inline constexpr std::array enum_names<repeat_verdict>{
    enum_name<repeat_verdict>{repeat_verdict::allowed, "allowed"},
    enum_name<repeat_verdict>{repeat_verdict::most_sends, "most-sends"},
    enum_name<repeat_verdict>{repeat_verdict::no_time, "no-time"},
    enum_name<repeat_verdict>{repeat_verdict::may_have_run, "may-have-run"},
    enum_name<repeat_verdict>{repeat_verdict::no_budget, "no-budget"},
};

/** The status of an answer of the VM's own; 503 promises that the request did not run. */
constexpr int status_of(call_end end)
{
    switch (end) {
    case call_end::no_route:
        return http_status::not_found;
    case call_end::failed:
        return http_status::bad_gateway;
    case call_end::timed_out:
        return http_status::gateway_timeout;
    default:
        return http_status::unavailable;
    }
}

} // namespace sniperock

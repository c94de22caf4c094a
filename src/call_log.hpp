/** @file call_log.hpp Log lines about calls. */
#pragma once

#include "call_attempt.hpp"
#include "call_type.hpp"
#include "settings_type.hpp"
#include "strong_id.hpp"

#include <cstddef>
#include <string>

namespace sniperock {

/** Data for the log line at the end of a call. */
struct call_summary {
    const std::string& id;
    request_fingerprint fingerprint;
    /** Name of the client account; empty if the request has none. */
    const std::string& account;
    /** Null if no route matched. */
    const route* matched_route;
    const std::string& service;
    call_end end;
    int status;
    int sends;
    int runs;
    milliseconds took;
    /** The attempt that supplied the answer, or else the last one; null if none was made. */
    const call_attempt* attempt;
    /** Statistics of the last search for an upstream. */
    search_record search;
    /** Share of recent requests of higher priority that were refused. */
    double urgent_refused;
    local_time arrived;
};

/**
 * Logs the end of a call. Normal calls, and those of unknown accounts, which may come in any
 * number, are sampled by id, with the same ids on every VM; all others are always logged, up to a
 * rate limit.
 */
void log_call(const call_summary& summary, const entry_settings& settings);

/**
 * Logs requests that were refused since their route needs a client account.
 * @param has_credentials whether the last one stated a key, which is not known.
 * @param refused number of requests since the previous such line.
 */
void log_unknown_account(const std::string& route, bool has_credentials, std::size_t refused);

/** Logs an attempt that did not supply the answer of the call. */
void log_failed_attempt(const std::string& id, request_fingerprint fingerprint,
                        const std::string& service, const call_attempt& attempt);

/** Logs that requests were refused as their account is over its quota. @param refused their number
 * since the last line. */
void log_over_quota(const std::string& account, milliseconds retry_after, std::size_t refused);
/** Logs why a request is not repeated. */
void log_repeat_denied(const std::string& id, const std::string& service, repeat_verdict verdict);

/**
 * Logs that a request was hedged: sent to a second upstream while the first attempt is running.
 * @param waited time since the start of the attempt at @p first.
 */
void log_hedge(const std::string& id, const std::string& service, const std::string& first,
               nanoseconds waited, const call_attempt& second);

/**
 * Logs that a large answer could not be completed.
 * @param status sent to the caller in its place; 0 if a part of it was sent.
 */
void log_incomplete_answer(const std::string& id, const std::string& service,
                           const std::string& upstream, call_end reason, int status);

} // namespace sniperock

/** @file call_log.hpp Log lines about calls. */
#pragma once

#include "call_attempt.hpp"
#include "call_type.hpp"
#include "settings_type.hpp"

#include <string>

namespace sniperock {

/** What is logged when a call ends. */
struct call_summary {
    const std::string& id;
    /** Null if no route matched. */
    const route* where;
    const std::string& service;
    call_end end;
    int status;
    int sends;
    int runs;
    milliseconds took;
    /** The attempt that brought the answer, or the last one; null if none was made. */
    const call_attempt* attempt;
    /** The last search for an upstream. */
    search_record search;
    /** Share of more urgent requests that were refused lately. */
    double urgent_refused;
    local_time arrived;
};

/**
 * Logs the end of a call. One that went well is logged for a share of the ids, the same on every
 * VM; any other is logged always, up to a rate.
 */
void log_call(const call_summary& summary, const entry_settings& settings);

/** Logs an attempt that did not bring the answer. */
void log_attempt(const std::string& id, const std::string& service, const call_attempt& attempt);

/** Logs why a request is not sent once more. */
void log_repeat_denied(const std::string& id, const std::string& service, repeat_verdict verdict);

/**
 * Logs that a request was sent to a second upstream while the first still has it.
 * @param waited since it was sent to @p first.
 */
void log_hedge(const std::string& id, const std::string& service, const std::string& first,
               nanoseconds waited, const call_attempt& second);

} // namespace sniperock

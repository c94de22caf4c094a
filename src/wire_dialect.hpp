/** @file wire_dialect.hpp Header names, paths and value formats used by callers, VMs and upstreams.
 */
#pragma once

#include "upstream_type.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sniperock {

/** A caller's request for VM addresses to connect to. */
struct directory_query {
    std::string host;
    std::string region;
    std::string failure_domain;
};

/** VM addresses and the time that a caller may cache them. */
struct directory_response {
    std::vector<std::string> addresses;
    milliseconds ttl{0};
};

/** Header names, paths and value formats of one protocol variant. */
struct wire_dialect {
    /** Request: id of a client's attempt; echoed in the response. */
    std::string_view attempt_id;
    /** Request: time that the sender waits for the response, in milliseconds. */
    std::string_view deadline_ms;
    /** Request to an upstream: only the upstream with this id may execute it. */
    std::string_view expected_upstream;
    /** Response: proves that the body was sent by the upstream. */
    std::string_view signature;
    /** Response: the upstream's load. */
    std::string_view load;
    /** Response: requests per second that the upstream accepts from all VMs together. */
    std::string_view limit;
    /** Response: present if the upstream did not execute the request. */
    std::string_view not_executed;
    /** Health check response: id of the upstream. */
    std::string_view upstream_id;
    /** Health check response: remaining time that the upstream is cold, in milliseconds. */
    std::string_view cold_ms;
    /** Request to an upstream: name of the client account. Callers cannot set it. */
    std::string_view account;
    /** Request of a caller: authentication scheme that precedes the key of a client account. */
    std::string_view account_scheme;
    /** Path of the readiness endpoint. */
    std::string_view ready_path;
    /** Path of the directory endpoint. */
    std::string_view directory_path;

    /** Parses the load header; empty if malformed. */
    std::optional<load_report> (*parse_load)(std::string_view text);
    /** Parses the target of a directory request. */
    directory_query (*parse_directory_query)(std::string_view target);
    /** Formats the body of a directory response. */
    std::string (*format_directory_response)(const std::vector<std::string>& addresses,
                                             milliseconds ttl);
    /** Formats the target of a directory request. */
    std::string (*format_directory_query)(const directory_query& query);
    /** Parses the body of a directory response; empty if malformed. */
    std::optional<directory_response> (*parse_directory_response)(const std::string& body);
};

/** The built-in dialect; a deployment's adapter may provide another. */
const wire_dialect& builtin_dialect();

/** Returns the percent-decoded value of parameter @p name in the query of @p target; empty if
 * absent.
 */
std::string query_value(std::string_view target, std::string_view name);

/** Parses a decimal number that is not negative; empty if malformed. */
std::optional<double> parse_rate(std::string_view text);

/** Parses an unsigned decimal integer; empty if malformed or out of range. */
std::optional<std::uint64_t> parse_unsigned(std::string_view text);

} // namespace sniperock

/** @file wire_dialect.hpp Names and formats that callers, VMs and upstreams exchange. */
#pragma once

#include "upstream_type.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sniperock {

/** A question of a caller: which addresses should I connect to? */
struct directory_query {
    std::string host;
    std::string region;
    std::string failure_domain;
};

/** What a caller is told: addresses, and how long to keep them. */
struct directory_response {
    std::vector<std::string> addresses;
    milliseconds keep{0};
};

/** The names of headers and pages, and the formats of their values. */
struct wire_dialect {
    /** Request: id of one attempt of a client; an answer echoes it. */
    std::string_view attempt_id;
    /** Request: milliseconds that the sender will wait. */
    std::string_view deadline_ms;
    /** Request to an upstream: only the upstream of this id may run it. */
    std::string_view expected_upstream;
    /** Answer: proves that the body is the upstream's. */
    std::string_view signature;
    /** Answer: the upstream's load. */
    std::string_view load;
    /** Answer: present if the upstream did not run the request. */
    std::string_view not_executed;
    /** Health answer: id of the upstream. */
    std::string_view upstream_id;
    /** Health answer: milliseconds for which the upstream stays cold. */
    std::string_view cold_ms;
    /** Path of the readiness page. */
    std::string_view ready_path;
    /** Path of the directory page. */
    std::string_view directory_path;

    /** Reads the load header; empty if malformed. */
    std::optional<load_report> (*parse_load)(std::string_view text);
    /** Reads the query of a directory request. */
    directory_query (*parse_directory_query)(std::string_view target);
    /** Writes the body of a directory answer. */
    std::string (*format_directory_response)(const std::vector<std::string>& addresses,
                                             milliseconds ttl);
    /** Writes the target of a directory request. */
    std::string (*format_directory_query)(const directory_query& query);
    /** Reads the body of a directory answer; empty if malformed. */
    std::optional<directory_response> (*parse_directory_response)(const std::string& body);
};

/** The product's own dialect; a deployment's adapter may bring another. */
const wire_dialect& own_dialect();

/** The value of @p name in the query of @p target, percent-decoded; empty if absent. */
std::string query_value(std::string_view target, std::string_view name);

/** Reads a whole number that is not negative; empty if it is anything else. */
std::optional<std::uint64_t> parse_unsigned(std::string_view text);

} // namespace sniperock

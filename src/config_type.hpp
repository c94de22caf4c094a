/** @file config_type.hpp One version of the operators' configuration as plain values. */
#pragma once

#include "clock_type.hpp"
#include "enum_table.hpp"
#include "strong_id.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sniperock {

/** What the operator says about repeating a route's requests. */
enum class request_kind {
    /** May run more than once. */
    idempotent,
    /** May run once at most for each attempt of a client. */
    non_idempotent,
    /** A large answer; may run more than once. */
    download,
};

template <>
inline constexpr std::array enum_names<request_kind>{
    enum_name<request_kind>{request_kind::idempotent, "idempotent"},
    enum_name<request_kind>{request_kind::non_idempotent, "non_idempotent"},
    enum_name<request_kind>{request_kind::download, "download"},
};

/** True if a request of @p kind may be sent to a second upstream after it may have run. */
constexpr bool is_repeatable(request_kind kind)
{
    return kind != request_kind::non_idempotent;
}

/** A service that takes a share of a route's requests. */
struct weighted_service {
    std::string service;
    /** Share relative to the other weighted_services; above 0. */
    double weight = 1;

    friend bool operator==(const weighted_service&, const weighted_service&) = default;
};

/** Where requests of one host and path prefix go, and how they are treated. */
struct route {
    std::string name;
    std::string host;
    /** Begins and ends with a slash. */
    std::string path_prefix;
    request_kind kind = request_kind::non_idempotent;
    /** Longest time a request is kept waiting; 0 if only its own deadline counts. */
    milliseconds timeout{0};
    /** An answer within this time has its full worth. */
    milliseconds target_latency{1000};
    /** Rank among the routes; 0 is the most urgent. */
    int priority = 0;
    /** Most upstreams on which one attempt of a client may run. */
    int max_attempts = 1;
    /** At least one. */
    std::vector<weighted_service> weighted_services;
};

/** What the operator says about a service's upstreams. */
struct service_config {
    std::string name;
    std::string health_path = "/healthz";
    /** Connections that an upstream accepts from all callers together. */
    std::int64_t max_connections = 0;
    /** How long an upstream is cold after its start. */
    milliseconds cold_time{0};
    /** Requests a second that a cold upstream bears; 0 if not stated. */
    double cold_rate = 0;
};

/** Limits of what callers may send. */
struct caller_limits {
    std::int64_t max_header_bytes = 16'384;
    std::int64_t max_body_bytes = 1'048'576;
    milliseconds header_timeout{10'000};
    milliseconds idle_timeout{60'000};
};

/** One version of the whole configuration. */
struct configuration {
    config_version version;
    std::vector<route> routes;
    std::map<std::string, service_config, std::less<>> services;
    caller_limits limits;
};

} // namespace sniperock

/** @file config_type.hpp Plain types of one version of the operators' configuration. */
#pragma once

#include "clock_type.hpp"
#include "enum_table.hpp"
#include "strong_id.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sniperock {

/** Whether a route's requests may be repeated, as configured by the operator. */
enum class request_kind {
    /** May be executed more than once. */
    idempotent,
    /** May be executed at most once for each attempt of a client. */
    non_idempotent,
    /** Has a large response; may be executed more than once. */
    download,
    /** Has a large body; may be executed at most once for each attempt of a client. */
    upload,
};

template <>
inline constexpr std::array enum_names<request_kind>{
    enum_name<request_kind>{request_kind::idempotent, "idempotent"},
    enum_name<request_kind>{request_kind::non_idempotent, "non_idempotent"},
    enum_name<request_kind>{request_kind::download, "download"},
    enum_name<request_kind>{request_kind::upload, "upload"},
};

/** True if a request of @p kind may be sent to a second upstream although the first upstream may
 * have executed it. */
constexpr bool is_repeatable(request_kind kind)
{
    return kind == request_kind::idempotent || kind == request_kind::download;
}

/** A service that receives a share of a route's requests. */
struct weighted_service {
    std::string service;
    /** Share relative to the weights of the route's other services; above 0. */
    double weight = 1;

    friend bool operator==(const weighted_service&, const weighted_service&) = default;
};

/** Services, timeouts and retry limits for the requests of one host and path prefix. */
struct route {
    std::string name;
    std::string host;
    /** Begins and ends with a slash. */
    std::string path_prefix;
    /** The most restrictive kind if the configuration states one that this release does not know.
     */
    request_kind kind = request_kind::non_idempotent;
    /** Maximum time until a request is answered; 0 if only the request's own deadline applies. */
    milliseconds timeout{0};
    /** Answers within this time have their full value. */
    milliseconds target_latency{1000};
    /** Priority among the routes; 0 is the highest. */
    int priority = 0;
    /** Maximum number of upstreams that may execute one attempt of a client. */
    int max_attempts = 1;
    /** At least one; their weights split the route's requests. */
    std::vector<weighted_service> weighted_services;
    /** Requests need no key of a client account. */
    bool is_public = false;
};

/** A client account: who may send requests, and how many. */
struct account_config {
    std::string name;
    /** Keys that its callers send; secrets, which no log line, metric, upstream or VM may get.
     * account_table takes them out. */
    std::vector<std::string> keys;
    /** Priority among the accounts, before that of the route; 0 is the highest. */
    int priority = 0;
    /** Requests per second over the whole fleet; 0 for no limit. */
    double rate = 0;
    /** Requests over the rate that the account may send at once. */
    double burst = 0;
};

/** Health path of a service that states none. */
inline constexpr const char* default_health_path = "/healthz";

/** Properties of a service's upstreams, as configured by the operator. */
struct service_config {
    std::string name;
    std::string health_path = default_health_path;
    /** Maximum number of connections that an upstream accepts from all callers together. */
    std::int64_t max_connections = 0;
    /** Time for which an upstream is cold after its start. */
    milliseconds cold_time{0};
    /** Requests per second that a cold upstream can handle; 0 if not configured. */
    double cold_rate = 0;
};

/** Limits on requests and connections of callers. */
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
    /** Client accounts; empty optional if the configuration names none, and requests need no key
     * then. */
    std::optional<std::vector<account_config>> accounts;
    /** Names of routes with a kind of request that this release does not know. */
    std::vector<std::string> routes_of_unknown_kind;
    /** Names of fields that this release does not know and ignores. */
    std::vector<std::string> ignored_fields;
};

} // namespace sniperock

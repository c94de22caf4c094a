/** @file edge_type.hpp Limits of the callers' side and names of its headers. */
#pragma once

#include "clock_type.hpp"
#include "dispatch_type.hpp"
#include "enum_table.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace sniperock {

/** Limits of callers' connections. */
struct edge_limits {
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    std::size_t threads = 2;
    std::size_t max_connections = 10'000;
    std::size_t max_header_bytes = 16'384;
    milliseconds header_timeout{10'000};
    milliseconds idle_timeout{60'000};
    milliseconds default_deadline{10'000};
    /** Longest deadline of a call; a caller who states a longer one gets this one. */
    milliseconds max_deadline{30'000};
    /** Longest body of a request in bytes; more is refused with 413. */
    std::uint64_t max_body_bytes = std::uint64_t{16} << 30U;
    /** Longest wait for a connection to a server. */
    milliseconds connect_timeout{500};
    /** Longest time in which no byte of a body moves. */
    milliseconds stall_timeout{10'000};
    /** A connection that answered within this time counts as working. */
    milliseconds proven_for{1000};
    /** How long an unused connection to a server is kept. */
    milliseconds upstream_idle{30'000};
    /** Extra attempts after failures, for each call. */
    double retry_ratio = 0.1;
    /** Most extra attempts saved up by one thread. */
    double retry_burst = 20;
    /** Second attempts at slow safe calls, for each call. */
    double hedge_ratio = 0.02;
    /** Most second attempts saved up by one thread. */
    double hedge_burst = 10;
    /** Share of a service's calls that answer before a second attempt is made. */
    double hedge_quantile = 0.98;
    /** Least wait before a second attempt. */
    milliseconds hedge_least{5};
    /** Longest wait of a second attempt for a slot. */
    milliseconds hedge_wait{10};
    /** Most servers tried for one call. */
    std::size_t max_attempts = 4;
    /** How long idle connections are kept at the start of a drain. */
    milliseconds drain_grace{1000};
};

/** Headers that callers, entry vms and servers exchange. */
namespace edge_header {
/** Request: the plan's key. */
inline constexpr const char* key = "X-Plan-Key";
/** Request: milliseconds that the caller will wait. */
inline constexpr const char* timeout = "X-Timeout-Ms";
/** Request: same value for every attempt at the same call. */
inline constexpr const char* idempotency = "Idempotency-Key";
/** Request to a server: microseconds since 1970 after which it must not start the call. */
inline constexpr const char* deadline = "X-Deadline-Us";
/** Request to a server: unique for each attempt. */
inline constexpr const char* call_id = "X-Call-Id";
/** Answer: answered, not-run or unknown. */
inline constexpr const char* outcome = "X-Outcome";
/** Answer: why there is no server's answer. */
inline constexpr const char* reason = "X-Reason";
/** Answer of a server: phase=warm;in_flight=1;slots=3. */
inline constexpr const char* load = "X-Server-Load";
/** Answer of a server: 1 if it did not run the call. */
inline constexpr const char* not_run = "X-Not-Run";
/** Answer: seconds after which asking again may help. */
inline constexpr const char* retry_after = "Retry-After";
} // namespace edge_header

/** Why an answer did not come from a server; stands in the reason header. */
enum class edge_reason {
    malformed,
    unknown_key,
    unknown_service,
    malformed_timeout,
    unknown_expectation,
    body_too_large,
    no_entry_vms,
    connection_limit,
    server_failed,
    shed,
    deadline,
    refused,
};

template <>
inline constexpr std::array enum_names<edge_reason>{
    enum_name<edge_reason>{edge_reason::malformed, "malformed"},
    enum_name<edge_reason>{edge_reason::unknown_key, "unknown-key"},
    enum_name<edge_reason>{edge_reason::unknown_service, "unknown-service"},
    enum_name<edge_reason>{edge_reason::malformed_timeout, "malformed-timeout"},
    enum_name<edge_reason>{edge_reason::unknown_expectation, "unknown-expectation"},
    enum_name<edge_reason>{edge_reason::body_too_large, "body-too-large"},
    enum_name<edge_reason>{edge_reason::no_entry_vms, "no-entry-vms"},
    enum_name<edge_reason>{edge_reason::connection_limit, "connection-limit"},
    enum_name<edge_reason>{edge_reason::server_failed, "server-failed"},
    enum_name<edge_reason>{edge_reason::shed, "shed"},
    enum_name<edge_reason>{edge_reason::deadline, "deadline"},
    enum_name<edge_reason>{edge_reason::refused, "refused"},
};

/** Statuses that an entry vm answers by itself. */
namespace http_status {
inline constexpr int ok = 200;
inline constexpr int partial_content = 206;
inline constexpr int bad_request = 400;
inline constexpr int unauthorized = 401;
inline constexpr int not_found = 404;
inline constexpr int payload_too_large = 413;
inline constexpr int expectation_failed = 417;
inline constexpr int too_many_requests = 429;
inline constexpr int bad_gateway = 502;
inline constexpr int service_unavailable = 503;
inline constexpr int gateway_timeout = 504;
} // namespace http_status

/** An answer that the entry vm gives itself. */
struct local_answer {
    int status = http_status::service_unavailable;
    std::string_view reason;
    call_outcome outcome = call_outcome::not_run;
    /** When asking again may help; 0 if it will not. */
    milliseconds retry_after{0};
};

} // namespace sniperock

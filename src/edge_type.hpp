/** @file edge_type.hpp Limits of the callers' side and names of its headers. */
#pragma once

#include "clock_type.hpp"

#include <cstddef>
#include <cstdint>
#include <string>

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
} // namespace edge_header

} // namespace sniperock

/** @file permit_type.hpp Messages by which one entry vm gets a slot on another's server. */
#pragma once

#include "peer_codec.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace sniperock {

/** Free slots and waiting calls of one owner in one service; only ever a hint. */
struct permit_hint {
    std::string service;
    std::uint32_t free_slots = 0;
    /** Sum of the limits of the owner's usable servers. */
    std::uint32_t limit = 0;
    std::uint32_t waiting = 0;
    MSGPACK_DEFINE(service, free_slots, limit, waiting)
};

/** Hints of one owner, about every service that changed. */
struct permit_hint_message {
    std::vector<permit_hint> hints;
    MSGPACK_DEFINE(hints)
};

/** Asks an owner for a slot. Idempotent by sender, its incarnation and the request number. */
struct permit_request {
    std::uint64_t request = 0;
    std::string service;
    std::string plan;
    /** call_class. */
    std::uint8_t kind = 0;
    /** Microseconds since 1970 past which the call must not run. */
    std::int64_t fence_us = 0;
    /** Servers that were tried already. */
    std::vector<std::string> avoid;
    MSGPACK_DEFINE(request, service, plan, kind, fence_us, avoid)
};

/** What became of a request. */
enum class permit_answer : std::uint8_t { granted = 0, queued = 1, refused = 2 };

/** Answers a request; may come more than once for one request. */
struct permit_reply {
    std::uint64_t request = 0;
    /** Incarnation that asked; a later life of its vm must not take the reply for its own. */
    std::uint64_t life = 0;
    std::string service;
    /** permit_answer. */
    std::uint8_t answer = 0;
    std::uint64_t permit = 0;
    std::string server;
    std::string address;
    std::uint16_t port = 0;
    /** Microseconds since 1970 past which the server must not start the call. */
    std::int64_t start_by_us = 0;
    /** refusal_reason, if refused. */
    std::uint8_t reason = 0;
    std::int64_t retry_after_ms = 0;
    permit_hint hint;
    MSGPACK_DEFINE(request, life, service, answer, permit, server, address, port, start_by_us,
                   reason, retry_after_ms, hint)
};

/** Gives a permit back or withdraws a request; repeating it changes nothing. */
struct permit_release {
    std::uint64_t request = 0;
    /** 0 withdraws the request, whatever became of it. */
    std::uint64_t permit = 0;
    std::string service;
    std::string server;
    std::int64_t fence_us = 0;
    /** call_result. */
    std::uint8_t result = 0;
    std::int64_t latency_ns = 0;
    bool server_error = false;
    bool has_load = false;
    std::uint8_t phase = 0;
    std::uint32_t in_flight = 0;
    std::uint32_t slots = 0;
    /** Times that a former owner passed it on. */
    std::uint8_t hops = 0;
    MSGPACK_DEFINE(request, permit, service, server, fence_us, result, latency_ns, server_error,
                   has_load, phase, in_flight, slots, hops)
};

} // namespace sniperock

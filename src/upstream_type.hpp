/** @file upstream_type.hpp Upstreams: their registry entry and the state that this VM tracks. */
#pragma once

#include "clock_type.hpp"
#include "sliding_count.hpp"
#include "strong_id.hpp"

#include <asio/ip/tcp.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace sniperock {

class http_connection;

/** Requests to a cold upstream are limited per second of arrival; the additional tenth of a second
 * covers the difference between sending and arrival. */
inline constexpr milliseconds cold_window{1100};

/** Requests to an upstream with a limit are counted over windows of at most this length. */
inline constexpr milliseconds max_limit_window{10'100};

/** Registry entry of an upstream. */
struct upstream_entry {
    std::string id;
    std::string service;
    std::string failure_domain;
    /** Version of its software; empty if not stated. */
    std::string version;
    asio::ip::tcp::endpoint endpoint;
    /** Maximum number of concurrent requests. */
    unsigned slots = 1;
    /** The upstream is about to leave. */
    bool draining = false;
    /** Remaining time in the cold state, as of the report. */
    milliseconds cold_remaining{0};
    /** Unix time of its start in ms; identifies the incarnation. 0 if not stated. */
    std::int64_t start_time_ms = 0;
    /** Counts what its process has written of itself; 0 if not stated. */
    std::uint64_t sequence = 0;
    /** Era of the store that the entry was read in. */
    store_era era{};
};

/** Load as reported by an upstream. */
struct load_report {
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 1;
    /** Current execution time relative to the usual one; 1 is the usual time. */
    double slowness = 1;
};

/** Recent results of this VM's own requests to one upstream. */
class failure_record {
public:
    void record_success(local_time now);
    void record_failure(local_time now);
    /** Estimated share of requests that would fail now, 0 to 1. */
    [[nodiscard]] double ratio(local_time now) const;
    /** True for a time after a missing answer; the upstream is not used then while others are
     * available. */
    [[nodiscard]] bool in_backoff(local_time now) const { return now < backoff_until_; }
    /**
     * Records that a connection or a probe had no answer; starts a backoff, longer each time.
     * @return true if it is the first one without an answer since the last answer.
     */
    bool record_no_response(local_time now);
    /** Records an answer. @return true if it is the first one after missing answers. */
    bool record_response()
    {
        backoff_until_ = {};
        return std::exchange(consecutive_no_responses_, 0) > 0;
    }

private:
    double ratio_ = 0;
    local_time updated_at_;
    unsigned consecutive_no_responses_ = 0;
    local_time backoff_until_;
};

/** The limit on requests per second that an upstream advertises; it applies to all VMs together. */
struct upstream_limit {
    /** Empty once it advertises none. */
    std::optional<double> per_s;
    /** The value that was last logged. */
    std::optional<double> logged_per_s;
    /** When an answer last advertised it, or showed that it ended. */
    local_time observed_at;
    /** Whether answers to probes, or to requests, advertise it. */
    bool in_probes = false;
    bool in_answers = false;
    /** Requests of this VM since the limit was first advertised. */
    sliding_count sends{max_limit_window};
    /** This VM's share: most requests in a window. It was computed for shared_per_s. */
    std::size_t share = 0;
    milliseconds share_window{0};
    std::optional<double> shared_per_s;
    local_time share_updated_at;
    /** When this VM last probed the upstream although its share excluded it. */
    local_time probed_at;
};

/** A request whose connection to an upstream was lost before its answer. */
struct lost_run {
    request_fingerprint request;
    local_time lost_at;
};

/** State of an upstream on this VM; outlives its registry entry while requests run. */
struct upstream : std::enable_shared_from_this<upstream> {
    upstream_entry entry;
    /** Excluded from use: it left the registry or was replaced. */
    bool removed = false;
    /** Set if the entry may have lapsed during a store outage; the upstream is removed at this time
     * unless the entry returns. */
    std::optional<local_time> lapsed_until;
    /** Set while the entry, which a restored store shows, may be one of an upstream that has left;
     * the upstream is not used before this time. */
    std::optional<local_time> held_until;
    /** Requests of this VM that the upstream is processing. */
    unsigned in_flight = 0;
    /** The last load report, the time it was received, and requests that this VM has sent since. */
    std::optional<load_report> report;
    local_time reported_at;
    unsigned sent_since_report = 0;
    /** The last health answer was a failure or came from another upstream. */
    bool unhealthy = false;
    local_time cold_until;
    /** Requests of this VM in the last second while the upstream was cold. */
    sliding_count cold_sends{cold_window};
    /** Null until the upstream first advertises a limit. */
    std::shared_ptr<upstream_limit> limit;
    failure_record failures;
    /** Requests lost lately, while it is not known whether its process has ended. */
    std::vector<lost_run> lost_runs;
    /** When it last answered, and when it was first silent since; empty if it was not. */
    local_time answered_at;
    std::optional<local_time> silent_since;
    /** When nothing listened at its address; empty once it has answered since. */
    std::optional<local_time> ended_at;
    /** Idle connections, the most recently used one at the back. */
    std::vector<std::shared_ptr<http_connection>> idle;
};

using upstream_ptr = std::shared_ptr<upstream>;

} // namespace sniperock

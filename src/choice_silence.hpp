/** @file choice_silence.hpp Recognises a request that its upstream will never answer. */
#pragma once

#include "choice_score.hpp"

#include <optional>

namespace sniperock {

/** Interval between two checks of a request that waits for its answer. */
inline constexpr milliseconds silence_check_interval{200};

enum class silence_verdict {
    /** Nothing shows that the answer will not come. */
    waiting,
    /** The answer is overdue, and a new load report of the upstream is worth a probe. */
    look,
    /** The upstream has twice reported neither to run nor to queue any request. */
    silent,
};

/**
 * Compares the load reports of an upstream with one request that waits for its answer.
 *
 * Some upstreams never answer a request that they cannot queue. It is then missing in their
 * reports, which is certain only if these count no request at all: others may be those of other
 * VMs. That the answer takes several times as long as expected proves nothing, as single requests
 * do.
 */
class silence_watch {
public:
    /** @param sent_at when the last byte of the request was passed to the connection.
     * @param expected_ms expected time until the answer. */
    silence_watch(local_time sent_at, double expected_ms)
        : sent_at_(sent_at), expected_(expected_ms)
    {
    }

    /** Judges by the last load report of @p item. After `look`, the next one is due later. */
    silence_verdict judge(const upstream& item, local_time now);

    /** When judge() may first say something else than `waiting`. */
    [[nodiscard]] local_time first_check() const;

private:
    [[nodiscard]] bool shows_absence(const upstream& item, local_time now) const;

    local_time sent_at_;
    std::chrono::duration<double, std::milli> expected_;
    /** When the report was received that was the first to show that the request is missing. */
    std::optional<local_time> missing_since_;
    local_time looked_at_;
};

} // namespace sniperock

/** @file store_health.hpp Tracks whether the store answers calls of this VM. */
#pragma once

#include "clock_type.hpp"
#include "event_type.hpp"

#include <optional>
#include <string>

namespace sniperock {

/** Health of the store as seen by the latest calls; shared by its callers on one thread. */
class store_health {
public:
    /** @param now taken as the time of the last answer until a call is answered. */
    explicit store_health(local_time now) : last_answer_at_(now) {}

    /** Records the answer to a call, which ends a failure. */
    void record_answer(local_time now)
    {
        last_answer_at_ = now;
        if (failing_since_) {
            failing_since_.reset();
            log_event(event::store_heard);
        }
    }
    /** Records a liveness probe started at @p began that was refused or got no answer. */
    void record_probe_failure(local_time began, const std::string& reason)
    {
        if (!failing_since_) {
            failing_since_ = began;
            log_event(event::store_unheard, {{"reason", reason}});
        }
    }
    /** True if no liveness probe has failed since the last answer. */
    [[nodiscard]] bool is_answering() const { return !failing_since_; }
    /** Time of the last answer to any call. */
    [[nodiscard]] local_time last_answer_at() const { return last_answer_at_; }
    /** Start of the first liveness probe that failed since the last answer; empty if none did. */
    [[nodiscard]] std::optional<local_time> failing_since() const { return failing_since_; }

private:
    local_time last_answer_at_;
    std::optional<local_time> failing_since_;
};

} // namespace sniperock

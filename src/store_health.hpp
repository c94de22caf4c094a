/** @file store_health.hpp Whether the store answers this VM. */
#pragma once

#include "clock_type.hpp"
#include "event_type.hpp"

#include <optional>
#include <string>

namespace sniperock {

/** What the latest calls tell of the store; shared by all that call it on one thread. */
class store_health {
public:
    /** @param now begin of the time in which nothing is known yet. */
    explicit store_health(local_time now) : answered_at_(now) {}

    /** A call was answered. */
    void answered(local_time now)
    {
        answered_at_ = now;
        if (failing_since_) {
            failing_since_.reset();
            log_event(event::store_heard);
        }
    }
    /** A pulse that began at @p began was not answered, or was refused. */
    void failed(local_time began, const std::string& reason)
    {
        if (!failing_since_) {
            failing_since_ = began;
            log_event(event::store_unheard, {{"reason", reason}});
        }
    }
    /** No pulse has failed since the latest answer. */
    [[nodiscard]] bool answering() const { return !failing_since_; }
    /** The latest answer to any call. */
    [[nodiscard]] local_time answered_at() const { return answered_at_; }
    /** Begin of the first pulse that failed since the latest answer; empty if none did. */
    [[nodiscard]] std::optional<local_time> failing_since() const { return failing_since_; }

private:
    local_time answered_at_;
    std::optional<local_time> failing_since_;
};

} // namespace sniperock

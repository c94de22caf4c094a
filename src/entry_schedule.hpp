/** @file entry_schedule.hpp Feeds the dispatcher with time, permit messages and probes. */
#pragma once

#include "dispatch.hpp"
#include "metrics.hpp"
#include "peer_link.hpp"

#include <memory>

namespace sniperock {

/** Runs the dispatcher's clockwork on one thread and shows its counts as metrics. */
class entry_schedule {
public:
    /**
     * Subscribes to the permit messages of @p link, which must not be started yet. All three
     * must outlive this.
     */
    entry_schedule(dispatcher& slots, peer_link& link, metrics& measured);
    ~entry_schedule();
    entry_schedule(const entry_schedule&) = delete;
    entry_schedule& operator=(const entry_schedule&) = delete;

    void start();
    void stop();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace sniperock

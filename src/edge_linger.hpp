/** @file edge_linger.hpp Holds the slot of an abandoned call until its server has let go of it. */
#pragma once

#include "edge_slot.hpp"
#include "edge_timers.hpp"
#include "upstream_pool.hpp"

#include <cstddef>
#include <memory>
#include <span>
#include <unordered_map>

namespace sniperock {

/**
 * A server learns that a call was given up from its connection, a moment after this process has
 * given it up. Until then it still runs the call, so the slot must not go to another one. The
 * server's own close shows that it let go; without it, the slot is held until the call's deadline.
 * Used by one io thread.
 */
class edge_linger {
public:
    /** A server that has not closed after this long gets a reset instead of a polite end. */
    static constexpr milliseconds reset_after{100};

    /**
     * @param timers timers of the io thread; must outlive this.
     * @param scratch takes input that nobody wants; must outlive this.
     */
    edge_linger(edge_timers& timers, std::span<char> scratch) : timers_(timers), scratch_(scratch)
    {
    }

    /**
     * Ends @p connection politely and releases @p slot once the server has closed its side.
     * @param report how the call ended.
     * @param until the call's deadline: the server runs nothing of it any more.
     */
    void add(std::shared_ptr<upstream_connection> connection, held_slot slot,
             const call_report& report, local_time until);
    /** Closes all connections and releases all slots. */
    void clear();
    /** Slots that are held. */
    [[nodiscard]] std::size_t size() const { return held_.size(); }

private:
    struct abandoned_call {
        std::shared_ptr<upstream_connection> connection;
        held_slot slot;
        call_report report;
        edge_timers::timer_key reset_timer;
        edge_timers::timer_key deadline_timer;
    };

    void on_input(const upstream_connection* key);
    void release(const upstream_connection* key);

    edge_timers& timers_;
    std::span<char> scratch_;
    std::unordered_map<const upstream_connection*, abandoned_call> held_;
};

} // namespace sniperock

/** @file queue_fair.hpp Waiting calls of one service: fair between plans, by deadline within one.
 */
#pragma once

#include "clock_type.hpp"
#include "dispatch_type.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace sniperock {

/** A waiting call as the queue sees it. */
struct queued_call {
    call_ticket ticket;
    std::string plan;
    local_time deadline;

    friend bool operator==(const queued_call&, const queued_call&) = default;
};

/**
 * Start-time fair queuing between plans. Each grant moves its plan's virtual start time on by
 * cost / weight; the plan with the least start time is next. A plan that was idle starts at the
 * present virtual time, so that it neither saves up nor owes what others used meanwhile.
 * Not safe for threads.
 */
class fair_queue {
public:
    /** Sets a plan's weight; from 1. Plans that were never set weigh 1. */
    void set_weight(const std::string& plan, std::uint32_t weight);
    void push(const queued_call& call);
    /** @return false if no such call waits. */
    bool erase(call_ticket ticket);
    /** Keeps a plan's calls waiting whatever its share. */
    void set_blocked(const std::string& plan, bool blocked);
    /** First calls of the plans that are next, at most @p most, in order of their turn. */
    [[nodiscard]] std::vector<queued_call> heads(std::size_t most) const;
    /** Notes a grant to @p plan, whether it waited or not. @param cost in any unit, above 0. */
    void charge(const std::string& plan, double cost);
    /** Removes and returns every call whose deadline is at or before @p time. */
    std::vector<queued_call> take_due(local_time time);
    /**
     * The call to drop so that one of plan @p arriving may enter a full queue: the last one of the
     * plan most over its share. Empty if @p arriving is that plan.
     */
    [[nodiscard]] std::optional<queued_call> overflow(const std::string& arriving) const;
    /** Calls of @p plan that are due at or before @p deadline. */
    [[nodiscard]] std::size_t position(const std::string& plan, local_time deadline) const;
    /** The plan's part (0 to 1) of the service while all waiting plans go on waiting. */
    [[nodiscard]] double share(const std::string& plan) const;
    [[nodiscard]] std::size_t size() const { return places_.size(); }
    [[nodiscard]] std::size_t size_of(const std::string& plan) const;

private:
    using place = std::pair<local_time, call_ticket>;
    struct flow {
        std::uint32_t weight = 1;
        double start = 0;
        bool blocked = false;
        std::set<place> calls;
    };
    struct location {
        std::string plan;
        local_time deadline;
    };

    void enter_order(const std::string& plan, const flow& item);
    void leave_order(const std::string& plan, const flow& item);

    std::map<std::string, flow, std::less<>> flows_;
    /** Plans with waiting calls that are not blocked, by start time. */
    std::set<std::pair<double, std::string>> order_;
    std::unordered_map<call_ticket, location> places_;
    double virtual_time_ = 0;
    std::uint64_t waiting_weight_ = 0;
};

} // namespace sniperock

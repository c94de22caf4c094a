/** @file edge_slot.hpp Gives a granted slot back exactly once, whatever happens. */
#pragma once

#include "dispatch.hpp"

#include <optional>
#include <utility>

namespace sniperock {

/** A granted slot; one that is dropped unfinished is released as cancelled. */
class held_slot {
public:
    held_slot(dispatcher& slots, grant with) : slots_(&slots), grant_(std::move(with)) {}
    ~held_slot() { finish({call_result::cancelled, nanoseconds{0}, std::nullopt}); }
    held_slot(held_slot&& other) noexcept
        : slots_(std::exchange(other.slots_, nullptr)), grant_(std::move(other.grant_))
    {
    }
    held_slot& operator=(held_slot&&) = delete;
    held_slot(const held_slot&) = delete;
    held_slot& operator=(const held_slot&) = delete;

    /** Moves the duty to release on; what was granted can still be read here. */
    [[nodiscard]] held_slot pass_on()
    {
        held_slot next(*slots_, grant_);
        slots_ = nullptr;
        return next;
    }
    /** What was granted. */
    [[nodiscard]] const grant& get() const { return grant_; }
    /** Releases the slot; does nothing the second time. */
    void finish(const call_report& report)
    {
        if (auto* slots = std::exchange(slots_, nullptr)) {
            slots->release(grant_, report, boot_clock::now(), system_clock_source::wall_now());
        }
    }

private:
    dispatcher* slots_;
    grant grant_;
};

} // namespace sniperock

/** @file config_keeper.hpp The configuration in force on this vm, and who is told when it changes.
 */
#pragma once

#include "config_pending.hpp"
#include "config_state.hpp"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace sniperock {

/** What a vm has in force. */
struct config_position {
    config_revision revision;
    /** Ids of unrecorded changes that hold on it. */
    std::vector<std::string> unrecorded;
};

/**
 * Holds the newest recorded state and the unrecorded changes on top of it. Never goes back to an
 * older revision. Members may be called from any thread.
 */
class config_keeper {
public:
    /** Called with each snapshot in force, in order and one at a time; must not block for long. */
    using subscriber = std::function<void(const std::shared_ptr<const config_snapshot>&)>;

    config_keeper();

    /** Adds a subscriber; only before the first state is applied. */
    void subscribe(subscriber callback);

    /** Puts a recorded state in force if its revision is newer. @return true if it was. */
    bool apply(const std::shared_ptr<const config_state>& state);
    /** Adds unrecorded changes. @return true if any was new here. */
    bool add_unrecorded(const unrecorded_changes& changes);

    /** The newest recorded state. */
    [[nodiscard]] std::shared_ptr<const config_state> state() const;
    /** What is in force, unrecorded changes included. */
    [[nodiscard]] std::shared_ptr<const config_snapshot> snapshot() const;
    [[nodiscard]] unrecorded_changes unrecorded() const;
    [[nodiscard]] config_position position() const;
    /** True if a state was applied, be it the empty one of an empty store. */
    [[nodiscard]] bool is_known() const;

private:
    /** Makes and publishes the snapshot in force; the caller holds publish_mutex_. */
    void publish();

    /** Held while subscribers are told, so that none sees an older snapshot after a newer one. */
    std::mutex publish_mutex_;
    mutable std::mutex mutex_;
    bool known_ = false;
    std::shared_ptr<const config_state> state_;
    std::shared_ptr<const config_snapshot> snapshot_;
    unrecorded_changes unrecorded_;
    std::vector<subscriber> subscribers_;
};

} // namespace sniperock

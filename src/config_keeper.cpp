/** @file config_keeper.cpp The configuration in force on this vm. */
#include "config_keeper.hpp"
#include "event_type.hpp"

#include <algorithm>
#include <iterator>

namespace sniperock {

config_keeper::config_keeper() : state_(empty_state()), snapshot_(state_->snapshot) {}

void config_keeper::subscribe(subscriber callback)
{
    const std::lock_guard lock(publish_mutex_);
    subscribers_.push_back(std::move(callback));
}

bool config_keeper::apply(const std::shared_ptr<const config_state>& state)
{
    const std::lock_guard publishing(publish_mutex_);
    unrecorded_changes settled;
    {
        const std::lock_guard lock(mutex_);
        known_ = true;
        if (state->head.revision <= state_->head.revision) {
            return false;
        }
        state_ = state;
        settled = drop_settled(unrecorded_, state->head);
    }
    for (const auto& change : settled) {
        log_event(event::take_out_settled, {{"id", change.id}, {"target", change.target}});
    }
    publish();
    return true;
}

bool config_keeper::add_unrecorded(const unrecorded_changes& changes)
{
    const std::lock_guard publishing(publish_mutex_);
    {
        const std::lock_guard lock(mutex_);
        auto wanted = changes;
        drop_settled(wanted, state_->head);
        if (!merge_unrecorded(unrecorded_, wanted)) {
            return false;
        }
    }
    publish();
    return true;
}

void config_keeper::publish()
{
    std::shared_ptr<const config_snapshot> next;
    {
        const std::lock_guard lock(mutex_);
        next = state_->snapshot;
        if (!unrecorded_.empty()) {
            auto changed = std::make_shared<config_snapshot>(*next);
            changed->out = effective_availability(next->out, unrecorded_);
            changed->unrecorded = unrecorded_.size();
            next = std::move(changed);
        }
        snapshot_ = next;
    }
    std::ranges::for_each(subscribers_, [&](const subscriber& tell) { tell(next); });
    log_event(event::config_applied, {{"revision", std::to_string(next->revision.value)},
                                      {"unrecorded", std::to_string(next->unrecorded)}});
}

std::shared_ptr<const config_state> config_keeper::state() const
{
    const std::lock_guard lock(mutex_);
    return state_;
}

std::shared_ptr<const config_snapshot> config_keeper::snapshot() const
{
    const std::lock_guard lock(mutex_);
    return snapshot_;
}

unrecorded_changes config_keeper::unrecorded() const
{
    const std::lock_guard lock(mutex_);
    return unrecorded_;
}

config_position config_keeper::position() const
{
    const std::lock_guard lock(mutex_);
    config_position position{state_->head.revision, {}};
    std::ranges::transform(unrecorded_, std::back_inserter(position.unrecorded),
                           &unrecorded_change::id);
    return position;
}

bool config_keeper::is_known() const
{
    const std::lock_guard lock(mutex_);
    return known_;
}

} // namespace sniperock

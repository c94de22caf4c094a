/** @file store_sync.cpp Watches the store and applies its objects on this VM. */
#include "store_sync.hpp"

#include "event_type.hpp"

#include <algorithm>
#include <utility>

namespace sniperock {

store_applier::store_applier(const store_schema& schema, route_holder& routes,
                             upstream_registry& registry, rollout_board& rollouts,
                             metrics& measured, std::function<void()> on_change)
    : schema_(schema), routes_(routes), registry_(registry), rollouts_(rollouts),
      metrics_(measured), on_change_(std::move(on_change))
{
}

void store_applier::apply_configuration_listing(const store_listing& listing)
{
    std::ranges::for_each(listing.objects,
                          [this](const auto& object) { apply_configuration(object); });
}

void store_applier::apply_configuration_changes(const store_changes& changes)
{
    for (const auto& change : changes.events) {
        if (!change.deleted) {
            apply_configuration(change.object);
        }
    }
}

/** Applies a configuration; one that cannot be decoded leaves the last valid one in effect. */
void store_applier::apply_configuration(const stored_object& object)
{
    if (object.name != schema_.newest_configuration) {
        return;
    }
    try {
        auto config = schema_.decode_configuration(object.spec);
        const auto version = config.version;
        const auto routes = config.routes.size();
        if (routes_.apply(std::move(config))) {
            configured_at_ = boot_clock::now();
            log_event(event::config_applied, {{"version", std::to_string(version.value)},
                                              {"routes", std::to_string(routes)},
                                              {"revision", to_text(object.revision)}});
            report_unknown_parts(routes_.table()->config());
            on_change_();
        }
    }
    catch (const store_error& error) {
        log_event(event::config_refused,
                  {{"revision", to_text(object.revision)}, {"reason", error.what()}});
    }
}

/** Reports the parts of a configuration that this release does not know: the routes that are served
 * as the most restrictive kind because theirs is unknown, and the fields that are ignored. */
void store_applier::report_unknown_parts(const configuration& config)
{
    if (!config.ignored_fields.empty()) {
        std::string fields;
        for (const auto& field : config.ignored_fields) {
            fields += (fields.empty() ? "" : ",") + field;
        }
        log_event(event::config_fields_ignored, {{"fields", fields}});
    }
    for (const auto& name : config.routes_of_unknown_kind) {
        log_event(event::config_kind_unknown, {{"route", name}});
        metrics_
            .counter("sniperock_config_unknown_kinds_total",
                     "Configurations with a route of an unknown kind", {{"route", name}})
            .Increment();
    }
}

std::optional<upstream_entry> store_applier::read_upstream(const stored_object& object)
{
    auto entry = schema_.decode_upstream(object);
    if (!entry) {
        log_event(event::store_entry_refused,
                  {{"object", object.name}, {"reason", "entry describes no usable upstream"}});
    }
    return entry;
}

void store_applier::apply_upstream_listing(const store_listing& listing)
{
    std::vector<upstream_entry> entries;
    for (const auto& object : listing.objects) {
        if (auto entry = read_upstream(object)) {
            entries.push_back(std::move(*entry));
        }
    }
    registry_.replace_all(entries, boot_clock::now());
    log_event(event::registry_listed, {{"upstreams", std::to_string(entries.size())},
                                       {"revision", to_text(listing.at_revision)}});
    on_change_();
}

void store_applier::apply_upstream_changes(const store_changes& changes)
{
    const auto now = boot_clock::now();
    for (const auto& change : changes.events) {
        const auto entry = change.deleted ? std::nullopt : read_upstream(change.object);
        if (entry) {
            registry_.put(*entry, now);
        }
        else {
            registry_.remove(change.object.name, now);
        }
        log_event(event::registry_changed,
                  {{"upstream", change.object.name},
                   {"service", entry ? entry->service : ""},
                   {"state", !entry ? "removed" : (entry->draining ? "draining" : "ready")},
                   {"cold_ms", std::to_string(entry ? entry->cold_remaining.count() : 0)},
                   {"revision", to_text(change.object.revision)}});
    }
}

void store_applier::apply_evacuation_listing(const store_listing& listing)
{
    evacuated_.clear();
    for (const auto& object : listing.objects) {
        evacuated_.insert(object.name);
    }
    const auto known_era = std::exchange(evacuations_era_, listing.at_revision.era);
    if (listing.at_revision.era > known_era) {
        registry_.set_evacuated_after_restore(evacuated_, boot_clock::now());
    }
    publish_evacuations();
    on_change_();
}

void store_applier::apply_evacuation_changes(const store_changes& changes)
{
    for (const auto& change : changes.events) {
        if (change.deleted) {
            evacuated_.erase(change.object.name);
            registry_.end_evacuation(change.object.name);
        }
        else {
            evacuated_.insert(change.object.name);
        }
    }
    if (!changes.events.empty()) {
        publish_evacuations();
    }
}

std::optional<stored_rollout> store_applier::read_rollout(const stored_object& object)
{
    auto stored = schema_.decode_rollout(object);
    if (!stored) {
        log_event(event::store_entry_refused,
                  {{"object", object.name}, {"reason", "entry describes no roll-out"}});
    }
    return stored;
}

void store_applier::apply_rollout_listing(const store_listing& listing)
{
    std::vector<stored_rollout> orders;
    for (const auto& object : listing.objects) {
        if (auto stored = read_rollout(object)) {
            orders.push_back(std::move(*stored));
        }
    }
    rollouts_.apply_listing(orders, boot_clock::now());
    on_change_();
}

void store_applier::apply_rollout_changes(const store_changes& changes)
{
    const auto now = boot_clock::now();
    for (const auto& change : changes.events) {
        if (change.deleted) {
            rollouts_.withdraw(change.object.name, now);
        }
        else if (const auto stored = read_rollout(change.object)) {
            rollouts_.apply(*stored, now);
        }
    }
}

void store_applier::publish_evacuations()
{
    std::string names;
    for (const auto& name : evacuated_) {
        names += (names.empty() ? "" : ",") + name;
    }
    log_event(event::evacuations_changed, {{"failure_domains", names}});
    registry_.set_evacuated(evacuated_);
}

} // namespace sniperock

/** @file store_sync.hpp Watches the store and applies its objects on this VM. */
#pragma once

#include "entry_settings_func.hpp"
#include "member_gossip.hpp"
#include "metrics.hpp"
#include "rollout_board.hpp"
#include "route_table.hpp"
#include "store_liveness_probe.hpp"
#include "store_schema.hpp"
#include "store_watcher.hpp"
#include "upstream_registry.hpp"

#include <asio/io_context.hpp>

#include <algorithm>
#include <array>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace sniperock {

/** Applies objects of the store to the routes and the registry. */
class store_applier {
public:
    /** @param on_change called when a newer configuration takes effect or all objects of a
     * kind were listed. */
    store_applier(const store_schema& schema, route_holder& routes, upstream_registry& registry,
                  rollout_board& rollouts, metrics& measured, std::function<void()> on_change);

    void apply_configuration_listing(const store_listing& listing);
    void apply_configuration_changes(const store_changes& changes);
    void apply_upstream_listing(const store_listing& listing);
    void apply_upstream_changes(const store_changes& changes);
    void apply_evacuation_listing(const store_listing& listing);
    void apply_evacuation_changes(const store_changes& changes);
    void apply_rollout_listing(const store_listing& listing);
    void apply_rollout_changes(const store_changes& changes);
    /** When the current configuration was read; empty if there is none. */
    [[nodiscard]] std::optional<local_time> configured_at() const { return configured_at_; }

private:
    void apply_configuration(const stored_object& object);
    void report_unknown_parts(const configuration& config);
    std::optional<upstream_entry> read_upstream(const stored_object& object);
    std::optional<stored_rollout> read_rollout(const stored_object& object);
    void publish_evacuations();

    const store_schema& schema_;
    route_holder& routes_;
    upstream_registry& registry_;
    rollout_board& rollouts_;
    metrics& metrics_;
    std::function<void()> on_change_;
    std::set<std::string, std::less<>> evacuated_;
    /** Era of the last listing of evacuations. */
    store_era evacuations_era_;
    std::optional<local_time> configured_at_;
};

/** Changes of upstreams and evacuations are batched for this fraction of the time within which they
 * have to take effect; the rest covers the watch call, the network and a stalled process. */
constexpr double batch_fraction = 0.65;

/** Watches all kinds of objects that a VM reads from the store. */
template <object_store Store>
class store_sync {
public:
    store_sync(asio::io_context& io, Store& store, const store_schema& schema,
               const entry_settings& settings, store_applier& applier, upstream_registry& registry,
               store_revision_tracker& revisions, random_engine& random,
               const std::function<void()>& announce)
        : io_(io), store_(store), schema_(schema), settings_(settings),
          batch_interval_(std::chrono::duration_cast<milliseconds>(settings.store_drain_limit *
                                                                   batch_fraction)),
          configurations_(
              store, watched_kind::configurations, schema.configurations,
              {watch_timeout(settings), batch_interval_ / 2, settings.store_drain_limit,
               read_mode::stale},
              {[] {},
               [&applier](const auto& listing) { applier.apply_configuration_listing(listing); },
               [&applier](const auto& changes) { applier.apply_configuration_changes(changes); },
               announce},
              health_, revisions, random),
          upstreams_(store, watched_kind::upstreams, schema.upstreams,
                     {watch_timeout(settings), batch_interval_, settings.store_drain_limit,
                      read_mode::stale},
                     {[&registry] { registry.store_recovered(boot_clock::now()); },
                      [&applier](const auto& listing) { applier.apply_upstream_listing(listing); },
                      [&applier](const auto& changes) { applier.apply_upstream_changes(changes); },
                      announce},
                     health_, revisions, random),
          evacuations_(
              store, watched_kind::evacuations, schema.evacuations,
              {watch_timeout(settings), batch_interval_, settings.store_drain_limit,
               read_mode::stale},
              {[] {},
               [&applier](const auto& listing) { applier.apply_evacuation_listing(listing); },
               [&applier](const auto& changes) { applier.apply_evacuation_changes(changes); },
               announce},
              health_, revisions, random),
          rollouts_(store, watched_kind::rollouts, schema.rollouts,
                    {watch_timeout(settings), batch_interval_ / 2, settings.store_drain_limit,
                     read_mode::stale},
                    {[] {},
                     [&applier](const auto& listing) { applier.apply_rollout_listing(listing); },
                     [&applier](const auto& changes) { applier.apply_rollout_changes(changes); },
                     announce},
                    health_, revisions, random),
          watchers_{&configurations_, &upstreams_, &evacuations_},
          liveness_probe_(io.get_executor(), store, schema.vms, {settings.store_pulse}, health_,
                          random)
    {
        if (settings.rollout_share > 0) {
            watchers_.push_back(&rollouts_);
        }
    }

    void start()
    {
        for (auto* watcher : watchers_) {
            start_task(io_.get_executor(), watcher->run());
        }
        start_task(io_.get_executor(), liveness_probe_.run());
    }

    /** True if every kind was read and this VM knows of no change that it lacks. */
    [[nodiscard]] bool up_to_date() const
    {
        return std::ranges::all_of(watchers_,
                                   [](const auto* watcher) { return watcher->up_to_date(); });
    }
    [[nodiscard]] store_role role() const { return role_; }
    /** True if no probe of the store has failed since its last answer. */
    [[nodiscard]] bool store_answers() const { return health_.is_answering(); }
    /** Another VM reports that the store does not answer it. */
    void check_store(local_time now)
    {
        // A store that has just answered need not be asked.
        constexpr milliseconds recent_answer{1000};
        if (health_.is_answering() && now - health_.last_answer_at() >= recent_answer) {
            liveness_probe_.request();
        }
    }
    /** Sets how this VM follows the store. */
    void set_role(store_role role)
    {
        if (std::exchange(role_, role) != role) {
            log_event(event::store_role_changed, {{"role", std::string{to_name(role)}}});
        }
        for (auto* watcher : watchers_) {
            watcher->set_role(role);
        }
        // The other VMs tell a follower of an outage.
        constexpr int follower_factor = 5;
        liveness_probe_.set_idle_interval(settings_.store_pulse *
                                          (role == store_role::follower ? follower_factor : 1));
    }
    /** Restarts each watch that has missed a change that another VM has reported. */
    void check_missed_changes(local_time now)
    {
        for (auto* watcher : watchers_) {
            watcher->check_missed_change(now);
        }
    }
    /** Calls @p visit(kind, time) for each kind with the time of the last answer about it. */
    template <typename Visit>
    void for_each_last_answer(Visit visit) const
    {
        for (const auto* watcher : watchers_) {
            visit(watcher->kind(), watcher->last_answer());
        }
    }

    /**
     * Registers this VM in the store, where a VM without any reachable seed looks up the fleet.
     * Among VMs that know each other, only the one with the lowest address needs to be registered.
     */
    task<> register_vm()
    {
        const auto era = store_.newest_era();
        if (registered_in_ && *registered_in_ >= era) {
            co_return;
        }
        registered_in_ = era;
        try {
            const nlohmann::json spec{{"address", address_of(settings_.callers_listen)}};
            co_await store_.create(schema_.vms, settings_.vm_name, spec);
        }
        catch (const store_error& error) {
            registered_in_.reset();
            log_event(event::vm_not_registered, {{"reason", error.what()}});
        }
    }

    /** Sends a heartbeat to each VM registered in the store. */
    task<> contact_registered_vms(member_gossip& gossip)
    {
        try {
            const auto listing = co_await store_.list(schema_.vms, read_mode::fresh);
            for (const auto& object : listing.objects) {
                const auto& spec = object.spec;
                const auto address = spec.is_object() ? spec.find("address") : spec.end();
                if (address != spec.end() && address->is_string()) {
                    gossip.send_heartbeat_to(address->template get<std::string>());
                }
                else {
                    log_event(event::store_entry_refused,
                              {{"object", object.name}, {"reason", "entry has no address"}});
                }
            }
        }
        catch (const store_error& error) {
            log_event(event::vm_not_registered, {{"reason", error.what()}});
        }
    }

private:
    /** Timeout of a watch: its revision is still in the store's history when it ends. */
    static milliseconds watch_timeout(const entry_settings& settings)
    {
        constexpr double history_fraction = 0.7;
        return std::min(settings.store_watch, std::chrono::duration_cast<milliseconds>(
                                                  settings.store_history * history_fraction));
    }

    asio::io_context& io_;
    Store& store_;
    const store_schema& schema_;
    const entry_settings& settings_;
    milliseconds batch_interval_;
    store_health health_{boot_clock::now()};
    store_watcher<Store> configurations_;
    store_watcher<Store> upstreams_;
    store_watcher<Store> evacuations_;
    store_watcher<Store> rollouts_;
    /** Those that run: orders of roll-outs are read only where there are some. */
    std::vector<store_watcher<Store>*> watchers_;
    store_liveness_probe<Store> liveness_probe_;
    store_role role_ = store_role::follower;
    /** Era of the store in which this VM has registered; a restored store may have lost it. */
    std::optional<store_era> registered_in_;
};

} // namespace sniperock

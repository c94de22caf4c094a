/** @file store_sync.hpp Puts what the store says in force on this VM. */
#pragma once

#include "entry_settings_func.hpp"
#include "member_gossip.hpp"
#include "route_table.hpp"
#include "store_follower.hpp"
#include "store_pulse.hpp"
#include "store_schema.hpp"
#include "upstream_registry.hpp"

#include <asio/io_context.hpp>

#include <algorithm>
#include <array>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace sniperock {

/** Applies objects of the store to the routes and the registry. */
class store_applier {
public:
    /** @param changed called when a newer configuration is in force or a kind was listed. */
    store_applier(const store_schema& schema, route_holder& routes, upstream_registry& registry,
                  std::function<void()> changed);

    void list_configurations(const store_listing& listing);
    void change_configurations(const store_changes& changes);
    void list_upstreams(const store_listing& listing);
    void change_upstreams(const store_changes& changes);
    void list_evacuations(const store_listing& listing);
    void change_evacuations(const store_changes& changes);
    /** When the configuration in force was read; empty if there is none. */
    [[nodiscard]] std::optional<local_time> configured_at() const { return configured_at_; }

private:
    void apply_configuration(const stored_object& object);
    std::optional<upstream_entry> read_upstream(const stored_object& object);
    void publish_evacuations();

    const store_schema& schema_;
    route_holder& routes_;
    upstream_registry& registry_;
    std::function<void()> changed_;
    std::set<std::string, std::less<>> evacuated_;
    std::optional<local_time> configured_at_;
};

/** Changes of upstreams and evacuations are gathered for this part of the time within which they
 * have to hold; the rest is for the call, the link and a process that was held up. */
constexpr double gather_part = 0.65;

/** Follows every kind that a VM needs. */
template <object_store Store>
class store_sync {
public:
    store_sync(asio::io_context& io, Store& store, const store_schema& schema,
               const entry_settings& settings, store_applier& applier, upstream_registry& registry,
               store_revision_tracker& news, random_engine& random)
        : io_(io), store_(store), schema_(schema), settings_(settings),
          gather_(
              std::chrono::duration_cast<milliseconds>(settings.store_drain_limit * gather_part)),
          configurations_(store, followed_kind::configurations, schema.configurations,
                          {settings.store_watch, gather_ / 2},
                          {[] {}, [&applier](const auto& all) { applier.list_configurations(all); },
                           [&applier](const auto& news) { applier.change_configurations(news); }},
                          health_, news, random),
          upstreams_(store, followed_kind::upstreams, schema.upstreams,
                     {settings.store_watch, gather_, read_mode::stale},
                     {[&registry] { registry.store_recovered(boot_clock::now()); },
                      [&applier](const auto& all) { applier.list_upstreams(all); },
                      [&applier](const auto& news) { applier.change_upstreams(news); }},
                     health_, news, random),
          evacuations_(store, followed_kind::evacuations, schema.evacuations,
                       {settings.store_watch, gather_, read_mode::stale},
                       {[] {}, [&applier](const auto& all) { applier.list_evacuations(all); },
                        [&applier](const auto& news) { applier.change_evacuations(news); }},
                       health_, news, random),
          pulse_(io.get_executor(), store, schema.vms, {settings.store_pulse}, health_, random)
    {
    }

    void start()
    {
        start_task(io_.get_executor(), configurations_.run());
        start_task(io_.get_executor(), upstreams_.run());
        start_task(io_.get_executor(), evacuations_.run());
        start_task(io_.get_executor(), pulse_.run());
    }

    /** Everything was read at least once. */
    [[nodiscard]] bool synced() const
    {
        return configurations_.synced() && upstreams_.synced() && evacuations_.synced();
    }
    /** Lets watches begin again if one of them missed a change that another VM has seen. */
    void check_missed_changes(local_time now)
    {
        const std::array followers{&configurations_, &upstreams_, &evacuations_};
        const auto missed = std::ranges::find_if(
            followers, [now](const auto* follower) { return follower->missed_change(now); });
        if (missed == followers.end() || now < next_check_) {
            return;
        }
        // A VM that tells of what no store has seen must not cost calls without end.
        constexpr seconds check_pause{5};
        next_check_ = now + check_pause;
        (*missed)->note_missed();
        store_.drop_connections();
    }
    /** Calls @p visit(kind, time) with each kind and when the store last answered about it. */
    template <typename Visit>
    void for_each_last_answer(Visit visit) const
    {
        for (const auto* follower : {&configurations_, &upstreams_, &evacuations_}) {
            visit(follower->kind(), follower->last_answer());
        }
    }

    /**
     * Enters this VM in the store, where a VM whose seeds are all gone looks for the fleet. Only
     * the VM with the lowest address of those that know each other needs to be there.
     */
    task<> register_vm()
    {
        if (std::exchange(registered_, true)) {
            co_return;
        }
        try {
            const nlohmann::json spec{{"address", address_of(settings_.callers_listen)}};
            co_await store_.create(schema_.vms, settings_.vm_name, spec);
        }
        catch (const store_error& error) {
            registered_ = false;
            log_event(event::vm_not_registered, {{"reason", error.what()}});
        }
    }

    /** Greets the VMs that are entered in the store. */
    task<> contact_registered_vms(member_gossip& gossip)
    {
        try {
            const auto listing = co_await store_.list(schema_.vms, read_mode::fresh);
            for (const auto& object : listing.objects) {
                gossip.greet(object.spec.value("address", ""));
            }
        }
        catch (const store_error& error) {
            log_event(event::vm_not_registered, {{"reason", error.what()}});
        }
        catch (const nlohmann::json::exception& fault) {
            log_event(event::vm_not_registered, {{"reason", fault.what()}});
        }
    }

private:
    asio::io_context& io_;
    Store& store_;
    const store_schema& schema_;
    const entry_settings& settings_;
    milliseconds gather_;
    store_health health_{boot_clock::now()};
    store_follower<Store> configurations_;
    store_follower<Store> upstreams_;
    store_follower<Store> evacuations_;
    store_pulse<Store> pulse_;
    local_time next_check_;
    bool registered_ = false;
};

} // namespace sniperock

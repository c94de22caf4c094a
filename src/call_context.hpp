/** @file call_context.hpp State that all calls of a process share. */
#pragma once

#include "account_refusals.hpp"
#include "call_metrics.hpp"
#include "call_relay.hpp"
#include "choice_domain.hpp"
#include "choice_estimate.hpp"
#include "choice_policy.hpp"
#include "choice_probe_budget.hpp"
#include "choice_room.hpp"
#include "choice_yield.hpp"
#include "cold_limit.hpp"
#include "entry_leaving.hpp"
#include "fleet_share.hpp"
#include "quarantine.hpp"
#include "quota_exchange.hpp"
#include "random_type.hpp"
#include "retry_budget.hpp"
#include "rollout_board.hpp"
#include "route_split.hpp"
#include "route_table.hpp"
#include "settings_type.hpp"
#include "upstream_pool.hpp"
#include "upstream_probe.hpp"
#include "upstream_reach.hpp"
#include "upstream_registry.hpp"
#include "wire_dialect.hpp"

#include <asio/io_context.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace sniperock {

/** Components that calls use; they outlive every call. Used by one I/O thread. */
struct call_context {
    call_context(asio::io_context& with_io, const entry_settings& with_settings,
                 const wire_dialect& with_dialect, route_holder& with_routes,
                 upstream_registry& with_registry, upstream_pool& with_pool,
                 upstream_prober& with_prober, request_quarantine& with_quarantine,
                 const upstream_reach& with_reach, relay_peers& with_relays,
                 rollout_board& with_rollouts, quota_exchange& with_quotas,
                 choice_policy& with_policy, call_metrics& with_stats, random_engine& with_random)
        : io(with_io), settings(with_settings), dialect(with_dialect), routes(with_routes),
          registry(with_registry), pool(with_pool), prober(with_prober),
          quarantine(with_quarantine), reach(with_reach), relays(with_relays),
          rollouts(with_rollouts), quotas(with_quotas), policy(with_policy), stats(with_stats),
          random(with_random), splitter(with_random)
    {
    }

    asio::io_context& io;
    const entry_settings& settings;
    const wire_dialect& dialect;
    route_holder& routes;
    upstream_registry& registry;
    upstream_pool& pool;
    upstream_prober& prober;
    request_quarantine& quarantine;
    /** Services that this VM cannot reach, and the VMs that send requests on for it then. */
    const upstream_reach& reach;
    relay_peers& relays;
    /** Which versions of a service get requests. */
    rollout_board& rollouts;
    /** Tells whether an account may send a request. */
    quota_exchange& quotas;
    choice_policy& policy;
    call_metrics& stats;
    random_engine& random;
    route_splitter splitter;
    choice_estimates estimates;
    domain_chooser domains;
    load_shedder load_shedding;
    account_refusals refused_accounts;
    account_refusals over_quota;
    slot_contention contention;
    probe_budget probes;
    /** The fleet according to heartbeats; refreshed every second. */
    fleet_view fleet;
    /** This VM has just started, and its configuration and registry may be older than those of the
     * others: it refuses all requests. */
    bool outdated = false;
    /** Set once the VM shuts down. */
    std::optional<leaving_times> leaving;
    std::map<std::string, retry_budget, std::less<>> budgets;
    local_time started = boot_clock::now();

    /** Budget for repeats (retries and hedges) of requests to a service. */
    retry_budget& retry_budget_of(const std::string& service)
    {
        const retry_bounds bounds{settings.retry_ratio, settings.retry_slack,
                                  settings.retry_window};
        return budgets.try_emplace(service, bounds, started).first->second;
    }
    /** Charges a probe to this VM's share of the fleet's budget. @return false if none is left. */
    bool may_probe(local_time now)
    {
        return probes.spend({settings.probe_rate, registry.size(), fleet.members.size()}, now);
    }
    /** Request limits for cold upstreams of a service. */
    [[nodiscard]] cold_bounds cold_bounds_of(const service_config* service) const
    {
        return {service == nullptr ? 0 : service->cold_rate, settings.cold_overshoot,
                settings.cold_slack};
    }
};

} // namespace sniperock

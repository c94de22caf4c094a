/** @file entry_node.cpp The process of one entry VM: its components and their wiring. */
#include "entry_node.hpp"

#include "call.hpp"
#include "caller_server.hpp"
#include "directory.hpp"
#include "entry_leaving.hpp"
#include "entry_quotas.hpp"
#include "entry_settings_func.hpp"
#include "entry_start.hpp"
#include "error_type.hpp"
#include "event_type.hpp"
#include "member_gossip.hpp"
#include "request_identity.hpp"
#include "rollout_exchange.hpp"
#include "store_client.hpp"
#include "store_sync.hpp"
#include "upstream_reach.hpp"

#include <asio/post.hpp>
#include <asio/signal_set.hpp>

#include <algorithm>
#include <csignal>
#include <thread>

namespace sniperock {
namespace {

/** Interval of the periodic work, such as closing connections whose deadline has passed. */
constexpr milliseconds tick_period{100};
/** The same while the VM shuts down, whose last phases are short. */
constexpr milliseconds drain_tick_period{20};
/** If a tick is delayed by more than this, the process is assumed to have been stalled. */
constexpr milliseconds max_tick_delay{1000};
/** Time in addition to the grace period for which a VM that starts waits for its ports. */
constexpr milliseconds max_port_wait{10'000};
/** Interval at which the settings file is read again, so that a change needs no signal. */
constexpr milliseconds reload_period{1000};
/** Time after the start until a VM knows enough of the fleet to compute its shares of the limits
 * on the whole fleet. */
constexpr milliseconds settle_time{2500};
/** Seeds that run answer the first heartbeat of a VM within this time. */
constexpr milliseconds first_report_time{150};
/** Interval at which a VM that knows no other VM searches the store for the fleet. */
constexpr seconds discovery_period{5};
/** A request with a larger body is sent on before its body is complete. A shorter one costs less
 * memory than the slot that it would hold at an upstream while it arrives. */
constexpr std::size_t stream_threshold = max_identifying_body;
/** Bytes that a VM adds to the head of a request that it passes on, among them the name of the
 * client account. */
constexpr std::int64_t max_relay_headers = 256 + max_account_name;
/** Least time between two heartbeats to all VMs because of a changed reach. */
constexpr milliseconds reach_news_interval{500};
/** Connection limit of each page server; callers query the directory over short-lived
 * connections. */
constexpr std::size_t max_page_connections = 1000;

member_entry describe_self(const entry_settings& settings, std::uint64_t incarnation_number)
{
    return {address_of(settings.callers_listen),
            0,
            settings.vm_name,
            settings.failure_domain,
            {incarnation_number},
            0,
            member_state::starting};
}

/** Number of this run of the process: the wall-clock time followed by random bits. */
std::uint64_t make_incarnation(random_engine& random)
{
    constexpr unsigned random_bits = 10;
    const auto wall = static_cast<std::uint64_t>(to_unix_us(wall_now()));
    return (wall << random_bits) | (random() & ((1U << random_bits) - 1));
}

} // namespace

/** The components of the process, in the order of their dependencies. */
struct entry_node::impl {
    impl(entry_settings initial_settings, entry_adapter initial_adapter,
         std::function<entry_settings()> reload)
        : settings(std::move(initial_settings)), adapter(initial_adapter),
          read_settings(std::move(reload)), random(random_seed()), call_stats(process_metrics),
          registry(settings.store_return_grace), pool(io, process_metrics),
          quarantine(quarantine_settings_of(settings),
                     [this](request_fingerprint request) {
                         spread_quarantine.announce(request, boot_clock::now());
                     }),
          prober(io, pool, adapter.dialect, quarantine, process_metrics),
          policy(choice_policies::instance().make(settings.policy)),
          reach(registry, [this](const upstream_ptr& item) { probe_at_once(item); }),
          members(describe_self(settings, make_incarnation(random)), settings.member_silence),
          peers_reach(members.self().address), relays(members, peers_reach, random),
          rollouts({settings.rollout_share}, members.self().incarnation_id),
          quotas(io, members.self(), !has_other_seed(), settings.member_heartbeat, random,
                 {[this](const quota_ask& ask, const std::string& to) {
                      gossip.send_quota_ask(ask, to);
                  },
                  [this](const quota_answer& answer, const std::string& to) {
                      gossip.send_quota_answer(answer, to);
                  }}),
          calls(io, settings, adapter.dialect, routes, registry, pool, prober, quarantine, reach,
                relays, rollouts, quotas.exchange(), *policy, call_stats, random),
          starting(settings.store_return_grace),
          gossip(
              io, members, revision_tracker, settings.member_heartbeat, random,
              {[this] { return sync.store_answers(); },
               [this] { sync.check_store(boot_clock::now()); },
               [this](std::size_t max_reports) {
                   return recent_limits(registry, max_reports, random, boot_clock::now());
               },
               [this](const limit_report& report) {
                   apply_limit_report(registry, report, boot_clock::now());
               },
               [this] { return starting.make_report(version_in_force(), boot_clock::now()); },
               [this](const store_view& view) {
                   starting.record_report(view, boot_clock::now());
                   update_state();
               },
               [this](std::size_t max_reports) { return reach_reports(max_reports); },
               [this](const reach_report& report) { peers_reach.apply(report, boot_clock::now()); },
               [this](std::size_t max_reports) {
                   return quarantine.reports(max_reports, random, boot_clock::now());
               },
               [this](const quarantine_message& message, const std::string& sender) {
                   spread_quarantine.receive(message, sender, boot_clock::now());
               },
               [this](std::size_t max_reports) {
                   return rollouts.reports(max_reports, boot_clock::now());
               },
               [this](const rollout_report& report) {
                   rollouts.receive(report, boot_clock::now());
               },
               [this] { return quotas.vms(); },
               [this](std::size_t vms) { return quotas.record_vms(vms, boot_clock::now()); },
               [this](const std::vector<silent_vm>& silent) {
                   quotas.record_silent(silent, boot_clock::now());
               },
               [this](const quota_ask& ask, const std::string& sender) {
                   quotas.exchange().receive_ask(ask, sender, boot_clock::now());
               },
               [this](const quota_answer& answer, const std::string& sender) {
                   quotas.exchange().receive_answer(answer, sender, boot_clock::now());
               }}),
          spread_quarantine(
              quarantine,
              {members.self().address,
               [this] { return members.other_addresses(boot_clock::now()); },
               [this](const quarantine_message& message, const std::vector<std::string>& to) {
                   gossip.send_quarantine(message, to);
               }}),
          judged_rollouts(
              rollouts, {members.self().address,
                         [this] { return members.other_addresses(boot_clock::now()); },
                         [this] { return sees_most_vms(); },
                         [this](const rollout_report& report, const std::vector<std::string>& to) {
                             gossip.send_rollout(report, to);
                         },
                         [this](const rollout_order& order) { return room_of(order); },
                         [this](const rollout_record& item, rollout_state state) {
                             start_task(io.get_executor(),
                                        write_rollout(item.order, item.revision.value(), state));
                         }}),
          store(io, endpoint_of(settings.store_address), settings.store_timeout, process_metrics),
          applier(adapter.schema, routes, registry, rollouts, process_metrics,
                  [this] { store_changed(); }),
          sync(io, store, adapter.schema, settings, applier, registry, revision_tracker, random,
               [this] { gossip.broadcast_self(); }),
          callers(io, caller_session_context(), static_cast<std::size_t>(settings.max_connections)),
          relay_server(io, relay_session_context(),
                       static_cast<std::size_t>(settings.max_connections)),
          ready_page(io,
                     page_session_context([this](const auto& exchange) { answer_ready(exchange); }),
                     max_page_connections),
          directory_page(io, page_session_context([this](const auto& exchange) {
                             answer_directory(exchange);
                         }),
                         max_page_connections),
          metrics_page(
              io, page_session_context([this](const auto& exchange) { answer_metrics(exchange); }),
              max_page_connections),
          signals(io), tick_timer(io)
    {
    }

    session_context caller_session_context() { return call_session_context(call_origin::caller); }

    session_context relay_session_context() { return call_session_context(call_origin::relay); }

    session_context call_session_context(call_origin origin)
    {
        session_context context;
        context.handle = [this, origin](const exchange_ptr& exchange) {
            start_task(io.get_executor(),
                       call::run(std::make_shared<call>(calls, exchange, origin)));
        };
        context.max_body_memory = static_cast<std::size_t>(settings.body_memory);
        context.stream_threshold = stream_threshold;
        context.id_header = adapter.dialect.attempt_id;
        return context;
    }

    static session_context page_session_context(std::function<void(const exchange_ptr&)> handle)
    {
        session_context context;
        context.handle = std::move(handle);
        return context;
    }

    void start()
    {
        // A signal that comes before its handler ends the process.
        signals.add(SIGTERM);
        signals.add(SIGINT);
        signals.add(SIGHUP);
        await_signal();
        if (!open_ports()) {
            io.stop();
            return;
        }
        gossip.set_seeds(seed_addresses(settings));
        start_task(io.get_executor(), gossip.send_heartbeats());
        start_task(io.get_executor(), gossip.receive_heartbeats());
        sync.start();
        last_tick = boot_clock::now();
        next_reload = last_tick + reload_period;
        tick();
        log_event(event::entry_started, {{"version", SNIPEROCK_VERSION},
                                         {"policy", settings.policy},
                                         {"callers_port", std::to_string(callers.port())}});
    }

    /** Opens the ports. One may still be used by the previous process on this address, which is
     * completing its requests: the VM waits until it has exited.
     * @return false if the VM was stopped meanwhile. @throws listen_failed */
    bool open_ports()
    {
        const auto address = endpoint_of(settings.callers_listen).address();
        const auto peer_port = static_cast<std::uint16_t>(settings.peer_port);
        const std::vector<std::function<void()>> ports{
            [&] { callers.listen(endpoint_of(settings.callers_listen)); },
            [&] {
                if (peer_port > 0) {
                    relay_server.listen({address, peer_port});
                }
            },
            [&] { ready_page.listen(endpoint_of(settings.ready_listen)); },
            [&] { directory_page.listen(endpoint_of(settings.directory_listen)); },
            [&] {
                metrics_page.listen({address, static_cast<std::uint16_t>(settings.metrics_port)});
            },
            [&] { gossip.open(address.to_string(), peer_port); }};
        const auto give_up_at = boot_clock::now() + settings.stop_grace + max_port_wait;
        for (const auto& open : ports) {
            if (!open_port(open, give_up_at)) {
                return false;
            }
        }
        members.set_callers_port(callers.port());
        relays.set_port(peer_port);
        return true;
    }

    /** Opens a port, again and again until @p give_up_at. See open_ports(). */
    bool open_port(const std::function<void()>& open, local_time give_up_at)
    {
        for (bool logged = false;;) {
            try {
                open();
                return true;
            }
            catch (const listen_failed& fault) {
                if (!fault.in_use() || boot_clock::now() >= give_up_at) {
                    throw;
                }
                if (!std::exchange(logged, true)) {
                    log_event(event::port_in_use, {{"reason", fault.what()}});
                }
            }
            std::this_thread::sleep_for(tick_period);
            io.poll();
            if (members.self().state == member_state::leaving) {
                return false;
            }
        }
    }

    void await_signal()
    {
        signals.async_wait([this](const asio::error_code& error, int number) {
            if (error) {
                return;
            }
            if (number == SIGHUP) {
                reload();
            }
            else {
                drain();
            }
            await_signal();
        });
    }

    /** What VMs say of the upstreams that they cannot reach. This VM is among them if it cannot
     * reach some, or could not lately. */
    std::vector<reach_report> reach_reports(std::size_t max_reports)
    {
        const auto now = boot_clock::now();
        reach_report own{members.self().address, reach.isolated(), {}, milliseconds{0}};
        std::ranges::transform(reach.services(), std::back_inserter(own.unreachable), service_hash);
        auto reports = peers_reach.reports(max_reports, now);
        if (!own.reaches_all() || now - reach_changed_at < reach_report_lifetime) {
            reports.push_back(std::move(own));
        }
        return reports;
    }

    /** Probes an upstream outside of any choice. */
    void probe_at_once(const upstream_ptr& item)
    {
        const auto table = routes.table();
        const auto* service = table ? table->find_service(item->entry.service) : nullptr;
        const auto round = std::make_shared<probe_round>(io.get_executor());
        round->closed = true;
        prober.start(round, item, service == nullptr ? default_health_path : service->health_path);
    }

    // Roll-outs.

    /** True if most VMs that may be running are known to be alive. */
    [[nodiscard]] bool sees_most_vms() const
    {
        const auto now = boot_clock::now();
        return 2 * members.alive(now).size() > members.possibly_running_names(now).size();
    }

    /** The upstreams of the versions that an order is about. */
    [[nodiscard]] rollout_room room_of(const rollout_order& order) const
    {
        rollout_room room;
        for (const auto& item : registry.of_service(order.service)) {
            const bool is_target = item->entry.version == order.target_version;
            room.stable_running += is_target ? 0 : item->in_flight;
            if (registry.usable(*item)) {
                (is_target ? room.target_slots : room.stable_slots) += item->entry.slots;
            }
        }
        return room;
    }

    task<> write_rollout(rollout_order order, store_revision revision, rollout_state state)
    {
        std::optional<stored_rollout> stored;
        try {
            const auto status = adapter.schema.encode_rollout_status(order, state);
            const auto object =
                co_await store.put_status(adapter.schema.rollouts, order.service, revision, status);
            stored = adapter.schema.decode_rollout(object);
            const bool has_state = stored && stored->state;
            log_event(event::rollout_written,
                      {{"service", order.service},
                       {"version", order.target_version},
                       {"state", std::string{to_name(state)}},
                       {"stored", std::string{has_state ? to_name(*stored->state) : ""}},
                       {"revision", to_text(object.revision)}});
        }
        catch (const store_error& error) {
            log_event(event::rollout_not_written, {{"service", order.service},
                                                   {"version", order.target_version},
                                                   {"state", std::string{to_name(state)}},
                                                   {"reason", error.what()}});
        }
        judged_rollouts.written(order.id, stored, boot_clock::now());
    }

    /** The versions of the first listing are known; later ones wait for their order. */
    void observe_versions(local_time now)
    {
        registry.for_each_service([&](const std::string& service, const auto& items) {
            rollouts.observe_versions(service, items, now);
        });
    }

    void follow_rollouts(local_time now)
    {
        if (!rollouts.enabled()) {
            return;
        }
        observe_versions(now);
        judged_rollouts.tick(now);
    }

    // Configuration and settings.

    void store_changed()
    {
        if (const auto table = routes.table()) {
            callers.shared().limits = table->config().limits;
            relay_server.shared().limits.max_header_bytes =
                table->config().limits.max_header_bytes + max_relay_headers;
            relay_server.shared().limits.max_body_bytes = table->config().limits.max_body_bytes;
        }
        observe_versions(boot_clock::now());
        if (const auto table = routes.table(); table != quotas_by) {
            quotas_by = table;
            configure_quotas();
        }
        update_state();
    }

    void configure_quotas()
    {
        quotas.configure(settings, quotas_by ? &quotas_by->config() : nullptr, boot_clock::now());
    }

    [[nodiscard]] config_version version_in_force() const
    {
        const auto table = routes.table();
        return table ? table->config().version : config_version{};
    }

    /** True if the settings name another VM. */
    [[nodiscard]] bool has_other_seed() const
    {
        return std::ranges::any_of(seed_addresses(settings), [this](const auto& seed) {
            return seed != members.self().address;
        });
    }

    /** Marks the VM as ready once everything has been read from the store and is current. */
    void update_state()
    {
        const auto now = boot_clock::now();
        starting.observe_era(store.newest_era(), now);
        if (members.self().state != member_state::starting) {
            return;
        }
        const bool may_hear_of_others = members.alive(now).size() < 2 && has_other_seed() &&
                                        now - calls.started < first_report_time;
        calls.outdated = may_hear_of_others || starting.is_outdated(version_in_force(), now);
        // What was read may be stale; another VM tells whether it is, or a fresh read replaces it.
        const bool knows_newest =
            sync.role() != store_role::follower || members.alive(now).size() > 1;
        if (knows_newest && !calls.outdated && sync.up_to_date() && routes.table()) {
            members.set_state(member_state::ready);
        }
    }

    /** Informs the fleet when the store stops or starts to answer this VM. */
    void report_store_health()
    {
        const bool answers = sync.store_answers();
        if (std::exchange(store_answered, answers) != answers &&
            sync.role() == store_role::announcer) {
            gossip.broadcast_self();
        }
    }

    /** Rereads the settings file and applies the settings that may change at run time. */
    void reload()
    {
        try {
            auto new_settings = read_settings();
            if (new_settings == settings) {
                return;
            }
            settings = std::move(new_settings);
            gossip.set_seeds(seed_addresses(settings));
            quarantine.set_settings(quarantine_settings_of(settings));
            configure_quotas();
            log_event(event::settings_reloaded);
        }
        catch (const invalid_input& fault) {
            log_event(event::settings_refused, {{"reason", fault.what()}});
        }
    }

    // Periodic work.

    void tick()
    {
        const auto now = boot_clock::now();
        if (now - last_tick > tick_period + max_tick_delay) {
            handle_stall(now);
        }
        last_tick = now;
        for (auto* server :
             {&callers, &relay_server, &ready_page, &directory_page, &metrics_page}) {
            server->close_expired(now);
        }
        registry.expire(now);
        sync.check_missed_changes(now);
        if (reach.update(now)) {
            reach_changed_at = now;
            reach_news_due = true;
        }
        if (reach_news_due && now >= next_reach_news) {
            next_reach_news = now + reach_news_interval;
            reach_news_due = false;
            gossip.broadcast_self();
        }
        report_store_health();
        follow_rollouts(now);
        update_state();
        if (now >= next_second) {
            next_second = now + seconds{1};
            run_every_second(now);
        }
        else if (!quotas.settled()) {
            // Until then, callers are refused for their quotas; a second more is long.
            quotas.update(members.alive(now), now);
        }
        if (members.self().state == member_state::leaving && advance_drain(now)) {
            io.stop();
            return;
        }
        const bool leaving = members.self().state == member_state::leaving;
        tick_timer.expires_after(leaving ? drain_tick_period : tick_period);
        tick_timer.async_wait([this](const asio::error_code& error) {
            if (!error) {
                tick();
            }
        });
    }

    void run_every_second(local_time now)
    {
        const auto close_idle = [now](upstream& entry) { upstream_pool::close_idle(entry, now); };
        registry.for_each(close_idle);
        relays.for_each(close_idle);
        calls.fleet = {settings.vm_name, members.possibly_running_names(now),
                       now - calls.started >= settle_time};
        const auto alive = members.alive(now);
        quotas.update(alive, now);
        const auto ready = std::ranges::count(alive, member_state::ready, &member_entry::state);
        sync.set_role(
            select_store_role({members.self(), alive, now - calls.started, has_other_seed()}));
        if (alive.size() != alive_logged || ready != ready_logged) {
            alive_logged = alive.size();
            ready_logged = ready;
            log_event(event::members_changed,
                      {{"alive", std::to_string(alive.size())}, {"ready", std::to_string(ready)}});
        }
        if (calls.fleet.settled) {
            maintain_discovery(alive, now);
        }
        if (now >= next_reload) {
            next_reload = now + reload_period;
            reload();
        }
    }

    /** Lets VMs find each other through the store when their seeds no longer exist. */
    void maintain_discovery(const std::vector<member_entry>& alive, local_time now)
    {
        const auto lowest = std::ranges::min_element(alive, {}, &member_entry::address);
        if (lowest->address == members.self().address) {
            start_task(io.get_executor(), sync.register_vm());
        }
        if (alive.size() == 1 && now >= next_discovery) {
            next_discovery = now + discovery_period;
            start_task(io.get_executor(), sync.contact_registered_vms(gossip));
        }
    }

    /** Discards load reports, idle upstream connections and all store connections, which are
     * unreliable after a freeze or a suspend. */
    void handle_stall(local_time now)
    {
        log_event(event::process_stood_still,
                  {{"ms", std::to_string(
                              std::chrono::duration_cast<milliseconds>(now - last_tick).count())}});
        registry.for_each([](upstream& entry) {
            entry.idle.clear();
            entry.report.reset();
        });
        store.drop_connections();
    }

    // Graceful shutdown.

    void drain()
    {
        if (members.self().state == member_state::leaving) {
            return;
        }
        members.set_state(member_state::leaving);
        drain_start = boot_clock::now();
        calls.leaving = leaving_times_of(drain_start, settings.stop_grace);
        callers.shared().draining = true;
        callers.close_idle(drain_start);
        relay_server.shared().draining = true;
        relay_server.close_idle(drain_start);
        gossip.broadcast_self();
        log_event(event::entry_leaving, {{"connections", std::to_string(callers.connections())},
                                         {"busy", std::to_string(callers.busy(drain_start))}});
    }

    /** Continues the shutdown. @return true if the process can exit. */
    bool advance_drain(local_time now)
    {
        callers.close_idle(now);
        relay_server.close_idle(now);
        const auto elapsed = now - drain_start;
        if (drain_phase_at(elapsed, settings.stop_grace, 0) == drain_phase::accepting) {
            return false;
        }
        callers.stop_accepting();
        relay_server.stop_accepting();
        const auto busy = callers.busy(now) + relay_server.busy(now);
        switch (drain_phase_at(elapsed, settings.stop_grace, busy)) {
        case drain_phase::done:
            log_event(event::entry_stopped, {{"cut_off", std::to_string(busy)}});
            return true;
        case drain_phase::ending:
            callers.end_requests();
            relay_server.end_requests();
            return false;
        default:
            return false;
        }
    }

    // Pages.

    void answer_ready(const exchange_ptr& exchange)
    {
        const bool known_path = exchange->request().head.target == adapter.dialect.ready_path;
        const bool ready = members.self().state == member_state::ready;
        exchange->respond({known_path ? (ready ? http_status::ok : http_status::unavailable)
                                      : http_status::not_found,
                           {},
                           {}});
    }

    void answer_directory(const exchange_ptr& exchange)
    {
        const std::string_view target = exchange->request().head.target;
        if (target.substr(0, target.find('?')) != adapter.dialect.directory_path) {
            exchange->respond({http_status::not_found, {}, {}});
            return;
        }
        const auto query = adapter.dialect.parse_directory_query(target);
        const auto now = boot_clock::now();
        const auto is_isolated = [&](const member_entry& member) {
            return member.address == members.self().address
                       ? reach.isolated()
                       : peers_reach.isolated(member.address, now);
        };
        const auto addresses = directory_addresses(members.alive(now), is_isolated,
                                                   query.failure_domain, members.self(), random);
        caller_response response{http_status::ok, {}, {}};
        response.headers.add("Content-Type", "application/json");
        response.body =
            adapter.dialect.format_directory_response(addresses, settings.directory_ttl);
        exchange->respond(response);
    }

    /** Updates the metrics that are computed only when the metrics page is read. */
    void refresh_gauges()
    {
        const auto now = boot_clock::now();
        const auto set_gauge = [this](const char* name, const char* help, double value,
                                      const metric_labels& labels = {}) {
            process_metrics.gauge(name, help, labels).Set(value);
        };
        const auto table = routes.table();
        const auto alive = members.alive(now);
        const auto ready = std::ranges::count(alive, member_state::ready, &member_entry::state);
        set_gauge("sniperock_config_version", "Version of the configuration in force",
                  table ? static_cast<double>(table->config().version.value) : 0);
        const std::chrono::duration<double> config_age =
            now - applier.configured_at().value_or(now);
        set_gauge("sniperock_config_age_seconds", "Since the configuration in force was read",
                  config_age.count());
        const auto dropped = dropped_log_lines();
        process_metrics
            .counter("sniperock_log_lines_dropped_total", "Log lines that were not written")
            .Increment(static_cast<double>(dropped - std::exchange(dropped_reported, dropped)));
        set_gauge("sniperock_upstreams", "Registry entries known",
                  static_cast<double>(registry.size()));
        std::size_t limited = 0;
        registry.for_each(
            [&](const upstream& entry) { limited += advertised_limit(entry) ? 1 : 0; });
        set_gauge("sniperock_upstreams_limited", "Upstreams that advertise a limit",
                  static_cast<double>(limited));
        set_gauge("sniperock_store_era", "Newest era in which the store has answered",
                  static_cast<double>(store.newest_era().value));
        set_gauge("sniperock_services_unreachable", "Services without an upstream in reach",
                  static_cast<double>(reach.services().size()));
        sync.for_each_last_answer([&](const std::string& kind, local_time answered) {
            const std::chrono::duration<double> silence = now - answered;
            set_gauge("sniperock_store_silence_seconds",
                      "Since the store last answered about a kind", silence.count(),
                      {{"kind", kind}});
        });
        set_gauge("sniperock_requests_quarantined", "Requests refused as they end upstreams",
                  static_cast<double>(quarantine.refused_count(now)));
        for (const auto* item : rollouts.records()) {
            const metric_labels labels{{"service", item->order.service}};
            set_gauge("sniperock_rollout_state",
                      "Roll-out: 0 running, 1 promoting, 2 condemned, 3 rolled back, 4 succeeded",
                      static_cast<double>(item->state), labels);
            set_gauge("sniperock_rollout_share", "Share of the requests that the new version gets",
                      rollouts.share_of(item->order.service, now), labels);
        }
        const auto asks = quotas.exchange().counts();
        const auto reported = std::exchange(quota_asks_reported, asks);
        const auto count_asks = [this](const char* what, std::uint64_t added) {
            process_metrics
                .counter("sniperock_quota_asks_total", "Asks for tokens of accounts' quotas",
                         {{"what", what}})
                .Increment(static_cast<double>(added));
        };
        count_asks("sent", asks.asks - reported.asks);
        count_asks("silent", asks.silent_asks - reported.silent_asks);
        const auto& bodies = *callers.shared().bodies;
        set_gauge("sniperock_body_bytes", "Bytes of request bodies held",
                  static_cast<double>(bodies.bytes));
        set_gauge("sniperock_body_bytes_peak", "Most bytes of request bodies held at a time",
                  static_cast<double>(bodies.peak_bytes));
        set_gauge("sniperock_members", "VMs known", static_cast<double>(alive.size()),
                  {{"state", "alive"}});
        set_gauge("sniperock_members", "VMs known", static_cast<double>(ready),
                  {{"state", "ready"}});
    }

    void answer_metrics(const exchange_ptr& exchange)
    {
        refresh_gauges();
        caller_response response{http_status::ok, {}, process_metrics.text()};
        response.headers.add("Content-Type", "text/plain; version=0.0.4");
        exchange->respond(response);
    }

    /** Number of dropped log lines that the counter already includes. */
    std::uint64_t dropped_reported = 0;
    /** Asks for tokens that the counters already include. */
    quota_counts quota_asks_reported;
    asio::io_context io{1};
    entry_settings settings;
    entry_adapter adapter;
    std::function<entry_settings()> read_settings;
    metrics process_metrics;
    random_engine random;
    call_metrics call_stats;
    route_holder routes;
    upstream_registry registry;
    upstream_pool pool;
    request_quarantine quarantine;
    upstream_prober prober;
    std::unique_ptr<choice_policy> policy;
    upstream_reach reach;
    member_table members;
    member_reach peers_reach;
    relay_peers relays;
    rollout_board rollouts;
    entry_quotas quotas;
    /** The configuration that the quotas are those of. */
    std::shared_ptr<const route_table> quotas_by;
    call_context calls;
    store_revision_tracker revision_tracker;
    start_guard starting;
    member_gossip gossip;
    quarantine_exchange spread_quarantine;
    rollout_exchange judged_rollouts;
    platform::store_client store;
    store_applier applier;
    store_sync<platform::store_client> sync;
    caller_server callers;
    /** Takes requests from VMs that cannot reach the upstreams. */
    caller_server relay_server;
    caller_server ready_page;
    caller_server directory_page;
    caller_server metrics_page;
    asio::signal_set signals;
    asio::steady_timer tick_timer;
    /** The others have to be told which upstreams this VM reaches. */
    bool reach_news_due = false;
    local_time next_reach_news;
    local_time reach_changed_at;
    local_time last_tick;
    local_time next_second;
    local_time next_reload;
    local_time next_discovery;
    local_time drain_start;
    std::size_t alive_logged = 0;
    std::ptrdiff_t ready_logged = 0;
    /** Whether the store answered at the previous tick. */
    bool store_answered = true;
};

entry_node::entry_node(entry_settings settings, entry_adapter adapter,
                       std::function<entry_settings()> reload)
    : impl_(std::make_unique<impl>(std::move(settings), adapter, std::move(reload)))
{
}

entry_node::~entry_node() = default;

void entry_node::start()
{
    impl_->start();
}

void entry_node::run()
{
    impl_->io.run();
    impl_->callers.close_all();
    impl_->relay_server.close_all();
}

void entry_node::drain()
{
    asio::post(impl_->io, [this] { impl_->drain(); });
}

std::uint16_t entry_node::callers_port() const
{
    return impl_->callers.port();
}
std::uint16_t entry_node::ready_port() const
{
    return impl_->ready_page.port();
}
std::uint16_t entry_node::directory_port() const
{
    return impl_->directory_page.port();
}
std::uint16_t entry_node::metrics_port() const
{
    return impl_->metrics_page.port();
}

} // namespace sniperock

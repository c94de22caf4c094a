/** @file entry_node.cpp Wires the parts of an entry vm together. */
#include "entry_node.hpp"
#include "dispatch.hpp"
#include "edge_server.hpp"
#include "entry_config.hpp"
#include "entry_schedule.hpp"
#include "event_type.hpp"
#include "locate.hpp"
#include "metrics.hpp"
#include "ownership_rendezvous.hpp"
#include "page_server.hpp"
#include "peer_link.hpp"
#include "random_type.hpp"
#include "store_client.hpp"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <iterator>
#include <thread>

namespace sniperock {
namespace {

constexpr milliseconds membership_period{250};

edge_limits make_edge_limits(const entry_settings& settings)
{
    edge_limits limits;
    limits.address = settings.caller_address;
    limits.port = static_cast<std::uint16_t>(settings.caller_port);
    limits.threads = static_cast<std::size_t>(settings.threads);
    limits.max_connections = static_cast<std::size_t>(settings.max_connections);
    limits.max_header_bytes = static_cast<std::size_t>(settings.max_header_bytes);
    limits.header_timeout = settings.header_timeout;
    limits.idle_timeout = settings.idle_timeout;
    limits.default_deadline = settings.default_deadline;
    return limits;
}

std::vector<owner_candidate> usable_candidates(const std::vector<vm_record>& vms,
                                               const availability& out)
{
    std::vector<owner_candidate> candidates;
    for (const auto& vm : vms) {
        const bool usable = vm.state == vm_state::live && !out.vms_out.contains(vm.name) &&
                            !out.domains_out.contains(vm.failure_domain);
        if (usable) {
            candidates.push_back({vm.name, vm.failure_domain});
        }
    }
    return candidates;
}

} // namespace

/** The parts and the threads that feed them. */
struct entry_node::impl {
    explicit impl(entry_settings with)
        : settings(std::move(with)),
          store(settings.store_address, static_cast<int>(settings.store_port),
                settings.store_timeout),
          link({settings.vm_name, life}, settings.peer_key_file),
          slots({{settings.vm_name, life}, settings.failure_domain},
                {static_cast<std::size_t>(settings.queue_limit), settings.policy, random_seed()},
                send_through(link), &measured),
          schedule(slots, link, measured), locator(settings.locate_keep, random_seed()),
          edge(make_edge_limits(settings), slots, routers, locator, counters, measured),
          pages(settings.admin_address, static_cast<int>(settings.admin_port)),
          configuration(settings, link, measured)
    {
        routers.set(std::make_shared<const edge_router>(std::make_shared<config_snapshot>()));
        configuration.subscribe([this](const auto& snapshot) { apply_config(snapshot); });
        configuration.mount(pages.server());
    }

    void start()
    {
        edge.start();
        schedule.start();
        link.start(settings.peer_address, static_cast<int>(settings.peer_port));
        pages.start([this] { return status_json(); }, [this] { return healthy(); },
                    [this] { return measured.text(); });
        self = {settings.vm_name,
                settings.failure_domain,
                settings.peer_address + ":" + std::to_string(link.port()),
                settings.caller_address + ":" + std::to_string(edge.port()),
                settings.admin_address + ":" + std::to_string(pages.port()),
                life.value,
                vm_state::live};
        configuration.start();
        threads.emplace_back([this] { follow_members(); });
        log_event(event::entry_started, {{"vm", settings.vm_name},
                                         {"callers", self.caller_endpoint},
                                         {"admin", self.admin_endpoint}});
    }

    void stop()
    {
        {
            const std::lock_guard lock(mutex);
            if (stopping) {
                return;
            }
            stopping = true;
        }
        wake.notify_all();
        configuration.stop();
        std::ranges::for_each(threads, [](std::thread& thread) { thread.join(); });
        threads.clear();
        edge.stop();
        pages.stop();
        link.stop();
        schedule.stop();
        log_event(event::entry_stopped, {{"vm", settings.vm_name}});
    }

    /** Sleeps for @p time. @return false if the node is stopping. */
    bool pause(milliseconds time)
    {
        std::unique_lock lock(mutex);
        return !wake.wait_for(lock, time, [this] { return stopping; });
    }

    void apply_config(const std::shared_ptr<const config_snapshot>& snapshot)
    {
        const std::lock_guard lock(mutex);
        config = snapshot;
        routers.set(std::make_shared<const edge_router>(config));
        slots.apply(config);
        assign_owners();
    }

    void follow_members()
    {
        bool reachable = true;
        while (pause(milliseconds{0})) {
            try {
                store.announce_vm(self);
                auto records = store.list_vms();
                configuration.set_vms(records);
                const std::lock_guard lock(mutex);
                vms = std::move(records);
                connect_peers();
                assign_owners();
                reachable = true;
            }
            catch (const store_unavailable& fault) {
                if (std::exchange(reachable, false)) {
                    log_event(event::store_lost, {{"reason", fault.what()}});
                }
            }
            pause(membership_period);
        }
    }

    /** Connects to every other vm of the list; the caller holds the mutex. */
    void connect_peers()
    {
        std::vector<peer_address> peers;
        for (const auto& vm : vms) {
            if (vm.name != settings.vm_name) {
                peers.push_back({vm.name, vm.peer_endpoint});
            }
        }
        link.set_peers(peers);
    }

    /** Recomputes owners and locate answers; the caller holds the mutex. */
    void assign_owners()
    {
        const auto candidates = usable_candidates(vms, config->out);
        std::map<std::string, std::vector<server_entry>> owned;
        std::map<std::string, std::set<std::string>> services_by_vm;
        ownership_view view;
        for (const auto& service : config->services) {
            auto& mine = owned[service.name];
            for (const auto& server : service.servers) {
                if (config->out.domains_out.contains(server.failure_domain)) {
                    continue;
                }
                const auto owner =
                    choose_owner({service.name, server.name}, server.failure_domain, candidates,
                                 static_cast<std::size_t>(settings.owners_per_domain));
                services_by_vm[owner].insert(service.name);
                view.owners[{service.name, server.name}] = owner;
                if (owner == settings.vm_name) {
                    mine.push_back(server);
                }
            }
        }
        slots.set_owned(owned);
        slots.set_view(std::make_shared<const ownership_view>(std::move(view)));
        std::vector<locate_entry> entries;
        for (const auto& vm : vms) {
            const auto& services = services_by_vm[vm.name];
            const bool out = config->out.vms_out.contains(vm.name) ||
                             config->out.domains_out.contains(vm.failure_domain);
            entries.push_back({vm.name,
                               vm.failure_domain,
                               vm.caller_endpoint,
                               out || vm.state == vm_state::leaving,
                               {services.begin(), services.end()}});
        }
        locator.set_entries(std::move(entries));
    }

    nlohmann::json status_json()
    {
        nlohmann::json services = nlohmann::json::array();
        for (const auto& item : slots.status()) {
            services.push_back({{"service", item.service},
                                {"owned_servers", item.owned_servers},
                                {"slots", item.slots},
                                {"in_flight", item.in_flight},
                                {"waiting", item.waiting}});
        }
        auto configured = configuration.status();
        const std::lock_guard lock(mutex);
        return {{"vm", settings.vm_name},
                {"failure_domain", settings.failure_domain},
                {"version", SNIPEROCK_VERSION},
                {"revision", config->revision.value},
                {"configuration", std::move(configured)},
                {"answered", counters.answered.load()},
                {"not_run", counters.not_run.load()},
                {"unknown", counters.unknown.load()},
                {"services", std::move(services)}};
    }

    bool healthy()
    {
        const std::lock_guard lock(mutex);
        return config->revision.value > 0;
    }

    entry_settings settings;
    metrics measured;
    incarnation life{random_seed()};
    store_client store;
    peer_link link;
    dispatcher slots;
    entry_schedule schedule;
    router_holder routers;
    locate_service locator;
    edge_counters counters;
    edge_server edge;
    page_server pages;
    entry_config configuration;
    vm_record self;
    std::mutex mutex;
    std::condition_variable wake;
    bool stopping = false;
    std::shared_ptr<const config_snapshot> config = std::make_shared<const config_snapshot>();
    std::vector<vm_record> vms;
    std::vector<std::thread> threads;
};

entry_node::entry_node(entry_settings settings) : impl_(std::make_unique<impl>(std::move(settings)))
{
}

entry_node::~entry_node()
{
    stop();
}

void entry_node::start()
{
    impl_->start();
}

void entry_node::stop()
{
    impl_->stop();
}

entry_ports entry_node::ports() const
{
    return {impl_->edge.port(), static_cast<std::uint16_t>(impl_->pages.port())};
}

config_revision entry_node::revision() const
{
    const std::lock_guard lock(impl_->mutex);
    return impl_->config->revision;
}

} // namespace sniperock

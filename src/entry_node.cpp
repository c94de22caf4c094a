/** @file entry_node.cpp Wires the parts of an entry vm together. */
#include "entry_node.hpp"
#include "dispatch.hpp"
#include "edge_server.hpp"
#include "entry_config.hpp"
#include "entry_ownership.hpp"
#include "entry_schedule.hpp"
#include "event_type.hpp"
#include "finding_type.hpp"
#include "locate.hpp"
#include "member_incarnation.hpp"
#include "metrics.hpp"
#include "page_server.hpp"
#include "peer_keys.hpp"
#include "peer_link.hpp"
#include "random_type.hpp"
#include "store_client.hpp"

#include <algorithm>
#include <mutex>

namespace sniperock {
namespace {

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
    limits.max_deadline = settings.ownership_permit_life;
    return limits;
}

/** The incarnation of a process that starts now, above any that the platform's list shows. */
incarnation choose_incarnation(const std::string& vm, store_client& store)
{
    std::vector<vm_record> listed;
    try {
        listed = store.list_vms();
    }
    catch (const store_unavailable&) {
        // The wall clock alone decides.
        listed.clear();
    }
    return new_incarnation(vm, listed, system_clock_source::wall_now(), random_seed());
}

/** The keys of the key file. Without a file any process of this host's network may join, which
 * only peers.insecure allows. */
peer_keys choose_keys(const entry_settings& settings)
{
    if (!settings.peer_key_file.empty()) {
        return load_peer_keys(settings.peer_key_file);
    }
    if (settings.peers_insecure == 0) {
        throw invalid_input({{"settings", 0, "peers.key_file",
                              "is required, unless peers.insecure = 1 lets anyone join"}});
    }
    return peer_keys(std::vector<peer_key>{{"insecure", "insecure"}});
}

} // namespace

/** The parts and the threads that feed them. */
struct entry_node::impl {
    explicit impl(entry_settings with)
        : settings(std::move(with)),
          store(settings.store_address, static_cast<int>(settings.store_port),
                settings.store_timeout),
          life(choose_incarnation(settings.vm_name, store)),
          link({settings.vm_name, life}, choose_keys(settings)),
          slots({{settings.vm_name, life}, settings.failure_domain},
                {static_cast<std::size_t>(settings.queue_limit), settings.policy, random_seed()},
                send_through(link), &measured),
          schedule(slots, link, measured), locator(settings.locate_keep, random_seed()),
          edge(make_edge_limits(settings), slots, routers, locator, counters, measured),
          pages(settings.admin_address, static_cast<int>(settings.admin_port)),
          configuration(settings, link, measured),
          ownership(settings, life, slots, link, measured,
                    {[this](const auto& records) { configuration.set_vms(records); },
                     [this](auto entries) { locator.set_entries(std::move(entries)); }})
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
        ownership.start(self);
        configuration.start();
        log_event(event::entry_started, {{"vm", settings.vm_name},
                                         {"callers", self.caller_endpoint},
                                         {"admin", self.admin_endpoint}});
    }

    void leave()
    {
        log_event(event::leave_started, {{"vm", settings.vm_name}});
        const auto end = boot_clock::now() + settings.member_leave_bound;
        const bool handed_over = ownership.leave(settings.member_leave_bound);
        const auto left = std::chrono::duration_cast<milliseconds>(end - boot_clock::now());
        const auto cut = edge.drain(std::max(left, milliseconds{0}));
        log_event(event::leave_ended, {{"vm", settings.vm_name},
                                       {"handed_over", handed_over ? "yes" : "no"},
                                       {"calls_cut", std::to_string(cut)}});
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
        ownership.stop();
        configuration.stop();
        edge.stop();
        pages.stop();
        link.stop();
        schedule.stop();
        log_event(event::entry_stopped, {{"vm", settings.vm_name}});
    }

    void apply_config(const std::shared_ptr<const config_snapshot>& snapshot)
    {
        const std::lock_guard lock(mutex);
        config = snapshot;
        routers.set(std::make_shared<const edge_router>(config));
        slots.apply(config);
        ownership.set_config(config);
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
                {"ownership", ownership.status()},
                {"services", std::move(services)}};
    }

    bool healthy()
    {
        const std::lock_guard lock(mutex);
        return config->revision.value > 0 && ownership.is_member();
    }

    entry_settings settings;
    metrics measured;
    store_client store;
    incarnation life;
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
    bool stopping = false;
    std::shared_ptr<const config_snapshot> config = std::make_shared<const config_snapshot>();
    entry_ownership ownership;
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

void entry_node::leave()
{
    impl_->leave();
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

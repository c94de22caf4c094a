/** @file entry_node.cpp Wires the parts of an entry vm together. */
#include "entry_node.hpp"
#include "config_func.hpp"
#include "dispatch.hpp"
#include "edge_server.hpp"
#include "entry_ownership.hpp"
#include "event_type.hpp"
#include "locate.hpp"
#include "member_incarnation.hpp"
#include "metrics.hpp"
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

constexpr milliseconds store_retry{200};

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

} // namespace

/** The parts and the threads that feed them. */
struct entry_node::impl {
    explicit impl(entry_settings with)
        : settings(std::move(with)),
          store(settings.store_address, static_cast<int>(settings.store_port),
                settings.store_timeout),
          life(choose_incarnation(settings.vm_name, store)),
          link({settings.vm_name, life}, settings.peer_key_file),
          slots(dispatch_limits{static_cast<std::size_t>(settings.queue_limit)}),
          locator(settings.locate_keep, random_seed()),
          edge(make_edge_limits(settings), slots, routers, locator, counters),
          pages(settings.admin_address, static_cast<int>(settings.admin_port)),
          ownership(settings, life, slots, link, measured,
                    {{}, [this](auto entries) { locator.set_entries(std::move(entries)); }})
    {
        routers.set(std::make_shared<const edge_router>(std::make_shared<config_snapshot>()));
    }

    void start()
    {
        edge.start();
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
        threads.emplace_back([this] { follow_config(); });
        ownership.start(self);
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
        store.cancel_watch();
        ownership.stop();
        std::ranges::for_each(threads, [](std::thread& thread) { thread.join(); });
        threads.clear();
        edge.stop();
        pages.stop();
        link.stop();
        log_event(event::entry_stopped, {{"vm", settings.vm_name}});
    }

    /** Sleeps for @p time. @return false if the node is stopping. */
    bool pause(milliseconds time)
    {
        std::unique_lock lock(mutex);
        return !wake.wait_for(lock, time, [this] { return stopping; });
    }

    void follow_config()
    {
        object_version version = 0;
        while (pause(milliseconds{0})) {
            try {
                const auto object = store.watch(config_key, version, settings.store_watch);
                if (object) {
                    version = object->version;
                    apply_config(*object);
                }
            }
            catch (const store_unavailable&) {
                pause(store_retry);
            }
        }
    }

    void apply_config(const store_object& object)
    {
        try {
            auto snapshot = parse_snapshot(object.value, config_key);
            snapshot.revision.value = object.version;
            const std::lock_guard lock(mutex);
            config = std::make_shared<const config_snapshot>(std::move(snapshot));
            routers.set(std::make_shared<const edge_router>(config));
            ownership.set_config(config);
            log_event(event::config_applied,
                      {{"revision", std::to_string(config->revision.value)}});
        }
        catch (const invalid_input& fault) {
            log_event(event::config_refused, {{"findings", fault.what()}});
        }
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
        const std::lock_guard lock(mutex);
        return {{"vm", settings.vm_name},
                {"failure_domain", settings.failure_domain},
                {"version", SNIPEROCK_VERSION},
                {"revision", config->revision.value},
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
    router_holder routers;
    locate_service locator;
    edge_counters counters;
    edge_server edge;
    page_server pages;
    vm_record self;
    std::mutex mutex;
    std::condition_variable wake;
    bool stopping = false;
    std::shared_ptr<const config_snapshot> config = std::make_shared<const config_snapshot>();
    std::vector<std::thread> threads;
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

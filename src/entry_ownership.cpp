/** @file entry_ownership.cpp Runs ownership and membership in an entry process. */
#include "entry_ownership.hpp"
#include "entry_ownership_sink.hpp"
#include "entry_worker.hpp"
#include "event_type.hpp"
#include "finding_type.hpp"
#include "ownership_driver.hpp"
#include "random_type.hpp"
#include "store_client.hpp"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <ranges>
#include <set>

namespace sniperock {
namespace {

constexpr milliseconds tick_period{25};
constexpr milliseconds publish_period{100};
constexpr milliseconds stop_retry{20};
constexpr milliseconds first_store_pause{100};
constexpr milliseconds longest_store_pause{2000};
constexpr milliseconds joining_list_period{250};
constexpr seconds idle_period{1};

epoch_settings make_times(const entry_settings& settings)
{
    epoch_settings times;
    times.heartbeat = settings.member_heartbeat;
    times.suspicion = settings.member_suspicion;
    times.term = settings.ownership_term;
    times.margin = settings.ownership_margin;
    times.join_window = settings.member_join_window;
    times.hold_down = settings.member_hold_down;
    times.list_lag = settings.member_list_lag;
    times.spread = static_cast<std::uint32_t>(settings.owners_per_domain);
    return times;
}

/** Waits between attempts to reach a store that does not answer. */
class store_pause {
public:
    explicit store_pause(std::uint64_t seed) : random_(seed) {}
    void answered() { next_ = first_store_pause; }
    /** The next pause; doubles up to a bound, with jitter of a half. */
    milliseconds failed()
    {
        const auto pause = next_;
        next_ = std::min(2 * next_, longest_store_pause);
        std::uniform_int_distribution<std::int64_t> jitter(pause.count() / 2, pause.count());
        return milliseconds{jitter(random_)};
    }

private:
    random_engine random_;
    milliseconds next_ = first_store_pause;
};

/** Logs and counts what the driver reports. */
class ownership_journal {
public:
    explicit ownership_journal(metrics& measured)
        : gained_(measured.counter("sniperock_servers_gained_total",
                                   "Servers that this vm began to grant on")),
          given_up_(measured.counter("sniperock_servers_given_up_total",
                                     "Servers that this vm stopped granting on"))
    {
    }
    void adopted(const epoch_object& epoch) const
    {
        log_event(event::epoch_adopted, {{"epoch", std::to_string(epoch.current.number.value)},
                                         {"members", std::to_string(epoch.current.members.size())},
                                         {"unfenced", std::to_string(epoch.unfenced.size())}});
    }
    void fenced(epoch_number number) const
    {
        log_event(event::epoch_fenced, {{"epoch", std::to_string(number.value)}});
    }
    void gained(std::size_t servers)
    {
        gained_.Increment(static_cast<double>(servers));
        log_event(event::servers_gained, {{"servers", std::to_string(servers)}});
    }
    void gave_up(std::size_t servers)
    {
        given_up_.Increment(static_cast<double>(servers));
        log_event(event::servers_given_up, {{"servers", std::to_string(servers)}});
    }
    void superseded(incarnation by) const
    {
        log_event(event::vm_superseded, {{"incarnation", std::to_string(by.value)}});
    }

private:
    prometheus::Counter& gained_;
    prometheus::Counter& given_up_;
};

/** Values of the pages, written by the driver's thread. */
struct ownership_gauges {
    explicit ownership_gauges(metrics& measured)
        : epoch(measured.gauge("sniperock_epoch", "Ownership epoch in force on this vm")),
          lease_s(measured.gauge("sniperock_lease_left_seconds",
                                 "Time for which this vm may still grant")),
          members(measured.gauge("sniperock_members", "Members of the epoch")),
          held(measured.gauge("sniperock_servers_held", "Servers that this vm may grant on")),
          waiting(measured.gauge("sniperock_servers_waiting",
                                 "Servers that this vm owns and may not grant on yet")),
          sent(measured.gauge("sniperock_heartbeats_sent", "Heartbeats sent since start")),
          received(
              measured.gauge("sniperock_heartbeats_received", "Heartbeats received since start")),
          proposals(measured.gauge("sniperock_epoch_proposals", "Epochs proposed since start")),
          reads(measured.gauge("sniperock_epoch_reads",
                               "Reads of the epoch object since start, watches excepted"))
    {
    }
    prometheus::Gauge& epoch;
    prometheus::Gauge& lease_s;
    prometheus::Gauge& members;
    prometheus::Gauge& held;
    prometheus::Gauge& waiting;
    prometheus::Gauge& sent;
    prometheus::Gauge& received;
    prometheus::Gauge& proposals;
    prometheus::Gauge& reads;
};

} // namespace

/** The threads and what passes between them. */
struct entry_ownership::impl {
    /** Turns the driver's requests into calls on the store's thread. */
    struct queued_store {
        impl& all;
        void read_epoch()
        {
            all.store_worker.post([this] { all.read_from_store(); });
        }
        void write_epoch(const epoch_object& object, object_version expected)
        {
            all.store_worker.post(
                [this, object, expected] { all.write_to_store(object, expected); });
        }
    };
    using driver_type =
        ownership_driver<sink_for<dispatcher>, peer_link, queued_store, ownership_journal>;

    impl(const entry_settings& with, incarnation life, dispatcher& slots, peer_link& to,
         metrics& measured, ownership_listeners tell)
        : settings(with), epoch_key("epoch/" + with.cell), listeners(std::move(tell)), link(to),
          sink(slots), store{*this}, journal(measured), gauges(measured),
          calls(with.store_address, static_cast<int>(with.store_port), with.store_timeout),
          lists(with.store_address, static_cast<int>(with.store_port), with.store_timeout),
          worker(tick_period, [this] { tick(); }), store_worker(idle_period, {})
    {
        check_times();
        self = {with.vm_name, life, with.failure_domain, ""};
        for (const auto kind : {peer_message_kind::heartbeat, peer_message_kind::heartbeat_reply,
                                peer_message_kind::handover, peer_message_kind::handover_reply}) {
            link.subscribe(kind, [this](const peer_message& message) {
                worker.post([this, message] { take_message(message); });
            });
        }
    }

    void check_times() const
    {
        finding_list findings;
        for (const auto& fault : check_epoch_settings(make_times(settings))) {
            findings.push_back({"settings", 0, "ownership", fault});
        }
        if (!findings.empty()) {
            throw invalid_input(std::move(findings));
        }
    }

    void start(const vm_record& as)
    {
        record = as;
        self.peer_endpoint = as.peer_endpoint;
        ownership_settings takeover;
        takeover.permit_life = settings.ownership_permit_life;
        driver = std::make_unique<driver_type>(make_times(settings), takeover, self, random_seed(),
                                               boot_clock::now(), sink, link, store, journal);
        store_worker.start();
        worker.start();
        watcher = std::thread([this] { watch_epoch(); });
        lister = std::thread([this] { follow_list(); });
    }

    void stop()
    {
        {
            const std::lock_guard lock(mutex);
            stopping = true;
        }
        wake.notify_all();
        while (watcher.joinable() && !watch_ended.load()) {
            calls.cancel_watch();
            std::this_thread::sleep_for(stop_retry);
        }
        for (auto* thread : {&watcher, &lister}) {
            if (thread->joinable()) {
                thread->join();
            }
        }
        worker.stop();
        store_worker.stop();
    }

    /** Sleeps for @p time. @return false if this is stopping. */
    bool pause(milliseconds time)
    {
        std::unique_lock lock(mutex);
        return !wake.wait_for(lock, time, [this] { return stopping; });
    }

    // On the driver's thread.

    void tick()
    {
        const auto now = boot_clock::now();
        driver->tick(now, system_clock_source::wall_now());
        if (now >= next_publish) {
            next_publish = now + publish_period;
            publish(now);
        }
    }

    void take_message(const peer_message& message)
    {
        if (!driver->on_message(message, boot_clock::now(), system_clock_source::wall_now())) {
            log_event(event::peer_message_dropped,
                      {{"from", message.from.vm}, {"reason", "malformed payload"}});
        }
    }

    void publish(local_time now)
    {
        const auto& machine = driver->machine();
        const auto left = std::max(nanoseconds{0}, nanoseconds{machine.lease_until() - now});
        const auto& counts = machine.counts();
        gauges.epoch.Set(static_cast<double>(machine.epoch().current.number.value));
        gauges.lease_s.Set(std::chrono::duration<double>(left).count());
        gauges.members.Set(static_cast<double>(machine.epoch().current.members.size()));
        gauges.held.Set(static_cast<double>(driver->table().held_count()));
        gauges.waiting.Set(static_cast<double>(driver->table().waiting_count()));
        gauges.sent.Set(static_cast<double>(counts.heartbeats_sent));
        gauges.received.Set(static_cast<double>(counts.heartbeats_received));
        gauges.proposals.Set(static_cast<double>(counts.proposals));
        gauges.reads.Set(static_cast<double>(counts.store_reads));
        locate();
        auto shown = describe(now, left);
        const std::lock_guard lock(mutex);
        page = std::move(shown);
        member = machine.is_member();
        left_epoch = driver->has_left(now);
        wake.notify_all();
    }

    nlohmann::json describe(local_time now, nanoseconds lease_left) const
    {
        const auto& machine = driver->machine();
        nlohmann::json members = nlohmann::json::array();
        for (const auto& item : machine.epoch().current.members) {
            const bool silent =
                item.vm != self.vm && machine.members().is_silent(item.identity(), now);
            members.push_back({{"vm", item.vm},
                               {"incarnation", item.life.value},
                               {"failure_domain", item.failure_domain},
                               {"silent", silent}});
        }
        nlohmann::json unfenced = nlohmann::json::array();
        for (const auto& earlier : machine.epoch().unfenced) {
            if (!machine.is_fenced(earlier.number)) {
                unfenced.push_back(earlier.number.value);
            }
        }
        const auto& counts = machine.counts();
        return {{"epoch", machine.epoch().current.number.value},
                {"incarnation", self.life.value},
                {"member", machine.is_member()},
                {"leaving", machine.is_leaving()},
                {"lease_left_ms", std::chrono::duration_cast<milliseconds>(lease_left).count()},
                {"servers_held", driver->table().held_count()},
                {"servers_waiting", driver->table().waiting_count()},
                {"pending_handovers", driver->pending_handovers()},
                {"unfenced", std::move(unfenced)},
                {"members", std::move(members)},
                {"proposals", counts.proposals},
                {"adoptions", counts.adoptions},
                {"store_reads", counts.store_reads},
                {"store_confirmations", counts.store_confirmations},
                {"vouched_confirmations", counts.vouched_confirmations}};
    }

    /** Tells the locator which vms callers may use, and what they own. */
    void locate()
    {
        if (!listeners.located || !config) {
            return;
        }
        const auto& machine = driver->machine();
        const auto now = boot_clock::now();
        std::map<std::string, std::set<std::string>> services;
        const auto view = driver->table().view();
        for (const auto& [key, owner] : view->owners) {
            services[owner].insert(key.service);
        }
        std::vector<locate_entry> entries;
        for (const auto& vm : listed) {
            const auto* heard = machine.members().find(vm.name);
            const bool mine = vm.name == self.vm;
            const bool lost = !mine && (heard == nullptr || heard->leaving ||
                                        machine.members().is_silent({vm.name, heard->life}, now));
            const bool unusable = vm.state == vm_state::leaving || lost ||
                                  (mine && machine.is_leaving()) ||
                                  config->out.vms_out.contains(vm.name) ||
                                  config->out.domains_out.contains(vm.failure_domain);
            const auto& owned = services[vm.name];
            entries.push_back({vm.name,
                               vm.failure_domain,
                               vm.caller_endpoint,
                               unusable,
                               {owned.begin(), owned.end()}});
        }
        listeners.located(std::move(entries));
    }

    // On the store's thread.

    void read_from_store()
    {
        epoch_read result;
        try {
            const auto object = calls.get(epoch_key);
            result.answered = !object || take_object(*object, result);
        }
        catch (const store_unavailable&) {
            result.answered = false;
        }
        worker.post([this, result] {
            driver->on_store_read(result, boot_clock::now(), system_clock_source::wall_now());
        });
    }

    /** Parses a stored object. @return false if it is malformed. */
    bool take_object(const store_object& object, epoch_read& result) const
    {
        result.object = parse_epoch(object.value);
        result.version = object.version;
        if (!result.object) {
            log_event(event::epoch_malformed,
                      {{"key", epoch_key}, {"version", std::to_string(object.version)}});
        }
        return result.object.has_value();
    }

    void write_to_store(const epoch_object& object, object_version expected)
    {
        const auto result = calls.put(epoch_key, format_epoch(object), expected);
        worker.post([this, result] {
            driver->on_store_write(result, boot_clock::now(), system_clock_source::wall_now());
        });
    }

    // Threads of their own.

    void watch_epoch()
    {
        store_pause wait(random_seed());
        object_version version = 0;
        bool reachable = true;
        while (pause(milliseconds{0})) {
            try {
                const auto object = calls.watch(epoch_key, version, settings.store_watch);
                if (!std::exchange(reachable, true)) {
                    log_event(event::store_back, {{"key", epoch_key}});
                }
                wait.answered();
                if (object) {
                    version = object->version;
                    take_watched(*object);
                }
            }
            catch (const store_unavailable& fault) {
                if (std::exchange(reachable, false) && pause(milliseconds{0})) {
                    log_event(event::store_lost, {{"reason", fault.what()}});
                }
                version = 0;
                pause(wait.failed());
            }
        }
        watch_ended = true;
    }

    void take_watched(const store_object& object)
    {
        epoch_read seen;
        if (!take_object(object, seen)) {
            return;
        }
        worker.post([this, seen] {
            driver->on_store_watch(*seen.object, seen.version, boot_clock::now(),
                                   system_clock_source::wall_now());
        });
    }

    void follow_list()
    {
        store_pause wait(random_seed());
        random_engine random(random_seed());
        std::uniform_int_distribution<std::int64_t> jitter(75, 125);
        while (pause(milliseconds{0})) {
            try {
                announce();
                take_list(lists.list_vms());
                wait.answered();
                pause_for_list(list_pause() * jitter(random) / 100);
            }
            catch (const store_unavailable&) {
                pause(wait.failed());
            }
        }
    }

    /** A vm that looks for the others reads the list more often. */
    milliseconds list_pause()
    {
        const std::lock_guard lock(mutex);
        return member ? settings.member_list_period
                      : std::min(settings.member_list_period, joining_list_period);
    }

    /** Waits for the next reading of the list; early if there is something to announce. */
    void pause_for_list(milliseconds time)
    {
        std::unique_lock lock(mutex);
        wake.wait_for(lock, time, [this] { return stopping || announce_due; });
    }

    /** Enters this vm in the platform's list if that is due. */
    void announce()
    {
        vm_record next;
        {
            const std::lock_guard lock(mutex);
            if (!std::exchange(announce_due, false)) {
                return;
            }
            next = record;
        }
        try {
            lists.announce_vm(next);
        }
        catch (const store_unavailable&) {
            const std::lock_guard lock(mutex);
            announce_due = true;
            throw;
        }
    }

    void take_list(const std::vector<vm_record>& records)
    {
        const auto mine = std::ranges::find(records, settings.vm_name, &vm_record::name);
        const auto now = boot_clock::now();
        {
            const std::lock_guard lock(mutex);
            const bool shown = mine != records.end() && mine->incarnation >= self.life.value;
            if (shown) {
                last_listed = now;
            }
            // The platform forgot this vm: its list is older than the longest lag.
            if (now - last_listed > settings.member_list_lag) {
                last_listed = now;
                announce_due = true;
            }
        }
        if (listeners.listed) {
            listeners.listed(records);
        }
        worker.post([this, records] {
            listed = records;
            driver->on_vm_list(records, boot_clock::now());
        });
    }

    entry_settings settings;
    std::string epoch_key;
    ownership_listeners listeners;
    peer_link& link;
    sink_for<dispatcher> sink;
    queued_store store;
    ownership_journal journal;
    ownership_gauges gauges;
    store_client calls;
    store_client lists;
    epoch_member self;
    std::unique_ptr<driver_type> driver;
    // Used on the driver's thread only.
    local_time next_publish;
    std::vector<vm_record> listed;
    std::shared_ptr<const config_snapshot> config;

    mutable std::mutex mutex;
    std::condition_variable wake;
    bool stopping = false;
    bool announce_due = true;
    local_time last_listed = boot_clock::now();
    vm_record record;
    nlohmann::json page;
    bool member = false;
    bool left_epoch = false;

    std::atomic<bool> watch_ended{false};
    std::thread watcher;
    std::thread lister;
    // Last, so that they end before what their tasks use.
    serial_worker worker;
    serial_worker store_worker;
};

entry_ownership::entry_ownership(const entry_settings& settings, incarnation life,
                                 dispatcher& slots, peer_link& link, metrics& measured,
                                 ownership_listeners listeners)
    : impl_(std::make_unique<impl>(settings, life, slots, link, measured, std::move(listeners)))
{
}

entry_ownership::~entry_ownership()
{
    stop();
}

void entry_ownership::start(const vm_record& self)
{
    impl_->start(self);
}

void entry_ownership::stop()
{
    impl_->stop();
}

void entry_ownership::set_config(std::shared_ptr<const config_snapshot> config)
{
    impl_->worker.post([this, config = std::move(config)] {
        impl_->config = config;
        impl_->driver->on_snapshot(config, boot_clock::now(), system_clock_source::wall_now());
    });
}

bool entry_ownership::leave(milliseconds bound)
{
    {
        const std::lock_guard lock(impl_->mutex);
        impl_->record.state = vm_state::leaving;
        impl_->announce_due = true;
    }
    impl_->wake.notify_all();
    impl_->worker.post(
        [this] { impl_->driver->leave(boot_clock::now(), system_clock_source::wall_now()); });
    std::unique_lock lock(impl_->mutex);
    return impl_->wake.wait_for(lock, bound, [this] { return impl_->left_epoch; });
}

bool entry_ownership::is_member() const
{
    const std::lock_guard lock(impl_->mutex);
    return impl_->member;
}

nlohmann::json entry_ownership::status() const
{
    const std::lock_guard lock(impl_->mutex);
    return impl_->page;
}

} // namespace sniperock

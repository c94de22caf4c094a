/** @file epoch_simulation.hpp Entry vms, store, list and network on one fake clock, for schedules
 * of faults. */
#pragma once

#include "ownership_driver.hpp"
#include "random_type.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace sniperock::simulation {

using nanoseconds = std::chrono::nanoseconds;

/** What the schedule may do; chances are in percent for each message or call. */
struct fault_plan {
    int message_loss = 0;
    int message_repeat = 0;
    int message_late = 0;
    int write_reply_lost = 0;
    int write_lost = 0;
};

class world;

/** The dispatcher, the link, the store and the log of one process, as the driver sees them. */
class process_ports {
public:
    process_ports(world& in, std::size_t at, epoch_member as) : all(in), vm(at), self(std::move(as))
    {
    }

    // Sink.
    void set_lease(local_time until) { lease = until; }
    void gain(const std::vector<gained_server>& servers, local_time, wall_time)
    {
        for (const auto& server : servers) {
            held.insert(server.state.server);
            handed_over += server.how == takeover::handed_over ? 1 : 0;
        }
    }
    std::vector<server_handover> give_up(const std::vector<server_key>& servers, local_time)
    {
        std::vector<server_handover> states;
        for (const auto& server : servers) {
            held.erase(server);
            states.emplace_back().server = server;
        }
        return states;
    }
    void set_view(const std::shared_ptr<const ownership_view>&) {}
    // Link.
    bool send(const std::string& to, peer_message_kind kind, const std::string& payload);
    void set_peers(const std::vector<peer_address>&) {}
    // Store.
    void read_epoch();
    void write_epoch(const epoch_object& object, object_version expected);
    // Observer.
    void adopted(const epoch_object& epoch)
    {
        went_back = went_back || epoch.current.number <= newest;
        newest = epoch.current.number;
    }
    void fenced(epoch_number) {}
    void gained(std::size_t) {}
    void gave_up(std::size_t) {}
    void superseded(incarnation) {}

    world& all;
    std::size_t vm;
    epoch_member self;
    local_time lease;
    std::set<server_key> held;
    std::size_t handed_over = 0;
    epoch_number newest;
    bool went_back = false;
    bool leaving = false;
};

/** One life of an entry process. */
class process : public process_ports {
public:
    process(world& in, std::size_t vm, incarnation life);

    using driver_type =
        ownership_driver<process_ports, process_ports, process_ports, process_ports>;
    std::unique_ptr<driver_type> driver;
};

/** One vm: its clock, and the process that runs on it, if any. */
struct host {
    std::string name;
    std::string failure_domain;
    /** Local nanoseconds for each true one. */
    double rate = 1;
    nanoseconds offset{0};
    nanoseconds paused_until{0};
    bool store_reachable = true;
    /** Bit per other vm that it cannot send to. */
    std::set<std::size_t> unreachable;
    std::uint64_t lives = 0;
    std::shared_ptr<process> running;
};

/** Everything, and the event queue that moves it. */
class world {
public:
    world(std::uint64_t seed, std::size_t vms, epoch_settings times);

    // Faults.
    void start(std::size_t vm);
    void crash(std::size_t vm, bool delist);
    void leave(std::size_t vm);
    void pause(std::size_t vm, nanoseconds time) { hosts[vm].paused_until = now + time; }
    void cut(const std::set<std::size_t>& side, bool both_ways);
    /** Cuts single links and single vms' ways to the store at random. */
    void scramble();
    void heal();
    void change_config();

    /** Runs all events up to @p time later. */
    void run_for(nanoseconds time);
    /** Runs until @p done holds; false if it did not within @p time. */
    bool run_until(const std::function<bool()>& done, nanoseconds time);

    /** True if every server in service has exactly one vm that may grant. */
    [[nodiscard]] bool all_granted() const;
    /** True if a live process may grant on the server now. */
    [[nodiscard]] std::size_t granters(const server_key& server) const;

    void post(nanoseconds after, std::function<void()> what);
    [[nodiscard]] local_time local(const host& at) const
    {
        const auto ticks = static_cast<double>(now.count()) * at.rate;
        return local_time{std::chrono::hours{1} + at.offset +
                          nanoseconds{static_cast<std::int64_t>(ticks)}};
    }
    [[nodiscard]] wall_time wall() const
    {
        return wall_time{std::chrono::hours{24 * 365 * 50} +
                         std::chrono::duration_cast<microseconds>(now)};
    }
    bool chance(int percent) { return std::uniform_int_distribution<int>(0, 99)(random) < percent; }
    nanoseconds between(milliseconds least, milliseconds most)
    {
        return microseconds{std::uniform_int_distribution<std::int64_t>(
            microseconds{least}.count(), microseconds{most}.count())(random)};
    }
    std::size_t any(std::size_t below)
    {
        return std::uniform_int_distribution<std::size_t>(0, below - 1)(random);
    }
    /** Hands @p what to the process if it still runs, once it is not paused. */
    void deliver(const std::weak_ptr<process>& to, std::function<void(process&)> what);

    random_engine random;
    epoch_settings times;
    fault_plan faults;
    nanoseconds now{0};
    std::vector<host> hosts;
    bool store_up = true;
    nanoseconds store_delay_most{milliseconds{5}};
    std::uint64_t store_calls = 0;
    std::uint64_t store_writes = 0;
    std::optional<epoch_object> stored;
    object_version stored_version = 0;
    std::vector<std::shared_ptr<const config_snapshot>> configs;
    /** First promise that was broken; empty if none. */
    std::string broken;

private:
    struct event {
        nanoseconds at;
        std::uint64_t order;
        std::function<void()> what;
        bool operator<(const event& other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };
    struct list_entry {
        nanoseconds since;
        std::optional<vm_record> record;
    };

    friend class process_ports;
    void tick(const std::weak_ptr<process>& who);
    void follow(const std::weak_ptr<process>& who);
    void announce(const process& who, vm_state state);
    std::vector<vm_record> listed(nanoseconds lag) const;
    void check();
    void call_store(std::size_t vm, std::function<void(process&, bool)> done,
                    std::function<void()> effect);

    std::priority_queue<event> events_;
    std::uint64_t next_order_ = 0;
    std::map<std::string, std::vector<list_entry>> list_;
};

inline process::process(world& in, std::size_t at, incarnation life)
    : process_ports(
          in, at, {in.hosts[at].name, life, in.hosts[at].failure_domain, in.hosts[at].name + ":1"})
{
    ownership_settings takeover;
    takeover.handover_wait = milliseconds{300};
    driver = std::make_unique<driver_type>(in.times, takeover, self, in.random(),
                                           in.local(in.hosts[at]), *this, *this, *this, *this);
}

inline bool process_ports::send(const std::string& to, peer_message_kind kind,
                                const std::string& payload)
{
    const auto target = std::ranges::find(all.hosts, to, &host::name);
    if (target == all.hosts.end()) {
        return false;
    }
    const auto place = static_cast<std::size_t>(target - all.hosts.begin());
    if (all.hosts[vm].unreachable.contains(place)) {
        return true;
    }
    const peer_message message{kind, self.identity(), payload};
    const int copies = 1 + (all.chance(all.faults.message_repeat) ? 1 : 0);
    for (int copy = 0; copy < copies; ++copy) {
        if (all.chance(all.faults.message_loss)) {
            continue;
        }
        const auto most = milliseconds{all.chance(all.faults.message_late) ? 4000 : 4};
        // It reaches whatever process then runs on the vm.
        all.post(all.between(milliseconds{0}, most), [this_world = &all, place, message] {
            this_world->deliver(this_world->hosts[place].running, [message](process& receiver) {
                receiver.driver->on_message(message,
                                            receiver.all.local(receiver.all.hosts[receiver.vm]),
                                            receiver.all.wall());
            });
        });
    }
    return true;
}

inline void process_ports::read_epoch()
{
    auto result = std::make_shared<epoch_read>();
    all.call_store(
        vm,
        [result](process& who, bool answered) {
            result->answered = answered;
            who.driver->on_store_read(*result, who.all.local(who.all.hosts[who.vm]),
                                      who.all.wall());
        },
        [result, this_world = &all] {
            result->object = this_world->stored;
            result->version = this_world->stored_version;
        });
}

inline void process_ports::write_epoch(const epoch_object& object, object_version expected)
{
    auto result = std::make_shared<put_result>();
    ++all.store_writes;
    const bool reply_lost = all.chance(all.faults.write_reply_lost);
    const bool write_lost = all.chance(all.faults.write_lost);
    result->status = put_status::unavailable;
    all.call_store(
        vm,
        [result, reply_lost, write_lost](process& who, bool answered) {
            if (!answered || reply_lost || write_lost) {
                result->status = put_status::unsure;
            }
            who.driver->on_store_write(*result, who.all.local(who.all.hosts[who.vm]),
                                       who.all.wall());
        },
        [result, object, expected, write_lost, this_world = &all] {
            if (write_lost) {
                return;
            }
            const bool fits = this_world->stored_version == expected;
            if (fits) {
                // Round trip through the stored form.
                this_world->stored = parse_epoch(format_epoch(object));
                ++this_world->stored_version;
            }
            *result = {fits ? put_status::accepted : put_status::conflict,
                       this_world->stored_version};
        });
}

inline world::world(std::uint64_t seed, std::size_t vms, epoch_settings with)
    : random(seed), times(with)
{
    constexpr std::size_t domains = 3;
    constexpr double most_drift = 0.01;
    std::uniform_real_distribution<double> drift(-most_drift, most_drift);
    for (std::size_t at = 0; at < vms; ++at) {
        host item;
        item.name = "vm" + std::to_string(at);
        item.failure_domain = "domain" + std::to_string(at % domains);
        item.rate = 1 + drift(random);
        item.offset = between(milliseconds{0}, milliseconds{100'000});
        hosts.push_back(item);
    }
    auto config = std::make_shared<config_snapshot>();
    config->revision.value = 1;
    service_entry service;
    service.name = "portal";
    for (std::size_t at = 0; at < 2 * domains; ++at) {
        service.servers.push_back({"s" + std::to_string(at), "127.0.0.1", 1,
                                   "domain" + std::to_string(at % domains), 2, 1});
    }
    config->services.push_back(service);
    configs.push_back(config);
}

inline void world::post(nanoseconds after, std::function<void()> what)
{
    events_.push({now + after, next_order_++, std::move(what)});
}

inline void world::deliver(const std::weak_ptr<process>& to, std::function<void(process&)> what)
{
    const auto target = to.lock();
    if (!target || hosts[target->vm].running != target) {
        return;
    }
    const auto& at = hosts[target->vm];
    if (at.paused_until > now) {
        post(at.paused_until - now, [this, to, what] { deliver(to, what); });
        return;
    }
    what(*target);
}

inline void world::call_store(std::size_t vm, std::function<void(process&, bool)> done,
                              std::function<void()> effect)
{
    constexpr milliseconds timeout{600};
    ++store_calls;
    const std::weak_ptr<process> target = hosts[vm].running;
    const auto there =
        between(milliseconds{0}, std::chrono::duration_cast<milliseconds>(store_delay_most));
    const auto back =
        between(milliseconds{0}, std::chrono::duration_cast<milliseconds>(store_delay_most));
    const bool lost_on_the_way = !store_up || !hosts[vm].store_reachable;
    auto applied = std::make_shared<bool>(false);
    if (!lost_on_the_way) {
        post(there, [this, effect, applied] {
            if (store_up) {
                effect();
                *applied = true;
            }
        });
    }
    const bool in_time = !lost_on_the_way && there + back < timeout;
    post(in_time ? there + back : nanoseconds{timeout}, [this, target, done, applied, in_time] {
        deliver(target, [done, applied, in_time](process& to) { done(to, in_time && *applied); });
    });
}

inline void world::start(std::size_t vm)
{
    auto& at = hosts[vm];
    // Lives grow with time, as real incarnations do.
    const incarnation life{static_cast<std::uint64_t>(now.count()) + ++at.lives};
    at.running = std::make_shared<process>(*this, vm, life);
    at.paused_until = now;
    announce(*at.running, vm_state::live);
    at.running->driver->on_snapshot(configs[any(configs.size())], local(at), wall());
    tick(at.running);
    follow(at.running);
}

inline void world::crash(std::size_t vm, bool delist)
{
    if (delist) {
        list_[hosts[vm].name].push_back({now, std::nullopt});
    }
    hosts[vm].running.reset();
}

inline void world::leave(std::size_t vm)
{
    if (const auto who = hosts[vm].running) {
        who->leaving = true;
        announce(*who, vm_state::leaving);
        deliver(who, [this](process& to) { to.driver->leave(local(hosts[to.vm]), wall()); });
    }
}

inline void world::cut(const std::set<std::size_t>& side, bool both_ways)
{
    for (std::size_t from = 0; from < hosts.size(); ++from) {
        for (std::size_t to = 0; to < hosts.size(); ++to) {
            const bool crosses = side.contains(from) != side.contains(to);
            if (crosses && (both_ways || side.contains(from))) {
                hosts[from].unreachable.insert(to);
            }
        }
    }
}

inline void world::scramble()
{
    for (auto& from : hosts) {
        from.store_reachable = chance(50);
        for (std::size_t to = 0; to < hosts.size(); ++to) {
            if (chance(30)) {
                from.unreachable.insert(to);
            }
        }
    }
}

inline void world::heal()
{
    for (auto& at : hosts) {
        at.unreachable.clear();
        at.store_reachable = true;
    }
    store_up = true;
    store_delay_most = milliseconds{5};
    faults = {};
}

inline void world::change_config()
{
    auto next = std::make_shared<config_snapshot>(*configs.back());
    ++next->revision.value;
    auto& servers = next->services.front().servers;
    switch (any(4)) {
    case 0:
        next->out.vms_out.clear();
        next->out.vms_out.insert(hosts[any(hosts.size())].name);
        break;
    case 1:
        next->out.vms_out.clear();
        next->out.domains_out.clear();
        break;
    case 2:
        servers[any(servers.size())].failure_domain = "domain" + std::to_string(any(3));
        break;
    default:
        next->out.domains_out.insert("domain" + std::to_string(any(3)));
        break;
    }
    configs.push_back(next);
}

inline void world::announce(const process& who, vm_state state)
{
    list_[who.self.vm].push_back(
        {now, vm_record{who.self.vm, who.self.failure_domain, who.self.peer_endpoint, "", "",
                        who.self.life.value, state}});
}

inline std::vector<vm_record> world::listed(nanoseconds lag) const
{
    std::vector<vm_record> records;
    for (const auto& [name, history] : list_) {
        const list_entry* shown = nullptr;
        for (const auto& entry : history) {
            shown = entry.since + lag <= now ? &entry : shown;
        }
        if (shown != nullptr && shown->record) {
            records.push_back(*shown->record);
        }
    }
    return records;
}

inline void world::tick(const std::weak_ptr<process>& who)
{
    deliver(who, [this, who](process& at) {
        at.driver->tick(local(hosts[at.vm]), wall());
        post(between(milliseconds{20}, milliseconds{45}), [this, who] { tick(who); });
    });
}

/** Watches the epoch, reads the list, and takes over configurations, each with a lag. */
inline void world::follow(const std::weak_ptr<process>& who)
{
    deliver(who, [this, who](process& at) {
        const auto& host_of = hosts[at.vm];
        if (store_up && host_of.store_reachable) {
            if (stored && chance(70)) {
                at.driver->on_store_watch(*stored, stored_version, local(host_of), wall());
            }
            at.driver->on_vm_list(listed(between(milliseconds{0}, times.list_lag / 2)),
                                  local(host_of));
            const auto known = at.driver->table().revision().value;
            if (known < configs.size() && chance(50)) {
                at.driver->on_snapshot(configs[known + any(configs.size() - known)], local(host_of),
                                       wall());
            }
        }
        post(between(milliseconds{50}, milliseconds{300}), [this, who] { follow(who); });
    });
}

inline std::size_t world::granters(const server_key& server) const
{
    return static_cast<std::size_t>(std::ranges::count_if(hosts, [&](const host& at) {
        return at.running && at.paused_until <= now && local(at) < at.running->lease &&
               at.running->held.contains(server);
    }));
}

inline void world::check()
{
    for (const auto& server : configs.front()->services.front().servers) {
        if (broken.empty() && granters({"portal", server.name}) > 1) {
            broken = "two vms may grant on " + server.name;
        }
    }
    for (const auto& at : hosts) {
        if (broken.empty() && at.running && at.running->went_back) {
            broken = at.name + " adopted an older epoch";
        }
    }
}

inline void world::run_for(nanoseconds time)
{
    const auto end = now + time;
    while (!events_.empty() && events_.top().at <= end && broken.empty()) {
        const auto next = events_.top();
        events_.pop();
        now = next.at;
        check();
        next.what();
        check();
    }
    now = end;
}

inline bool world::run_until(const std::function<bool()>& done, nanoseconds time)
{
    constexpr milliseconds step{20};
    const auto end = now + time;
    while (now < end && broken.empty()) {
        if (done()) {
            return true;
        }
        run_for(step);
    }
    return done();
}

inline bool world::all_granted() const
{
    const auto& config = *configs.back();
    return std::ranges::all_of(config.services.front().servers, [&](const server_entry& server) {
        const bool out = config.out.domains_out.contains(server.failure_domain);
        return granters({"portal", server.name}) == (out ? 0U : 1U);
    });
}

} // namespace sniperock::simulation

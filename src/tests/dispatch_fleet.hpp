/** @file dispatch_fleet.hpp Several dispatchers, a lossy bus and servers that count, in fake time.
 */
#pragma once

#include "dispatch.hpp"
#include "peer_codec.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sniperock::testing {

/** How badly messages between vms fare. */
struct bus_faults {
    double loss = 0;
    double repeat = 0;
    milliseconds longest_delay{3};
};

/** What really runs on one server, whoever granted it. */
struct fake_server {
    server_entry entry;
    std::string owner;
    std::uint32_t in_flight = 0;
    std::uint32_t most_in_flight = 0;
    server_phase phase = server_phase::warm;
};

/** One call of a caller. */
struct fake_call {
    std::string home;
    call_ticket ticket;
    std::string plan;
    local_time asked;
    local_time deadline;
    std::optional<grant> held;
    local_time granted;
    local_time ends;
    int answers = 0;
    std::optional<refusal> refused;
    bool cancelled = false;
    bool lost = false;
    bool done = false;
};

/** Runs everything on one manual clock; all randomness comes from the seed. */
class fake_fleet {
public:
    fake_fleet(std::uint64_t seed, std::vector<std::string> vms, std::vector<server_entry> entries,
               std::vector<allowance> allowances, bus_faults faults = {},
               const std::string& policy = "owner")
        : random_(seed), faults_(faults), policy_(policy)
    {
        service_entry service;
        service.name = "portal";
        service.probe_rate = 10;
        service.servers = std::move(entries);
        config.services.push_back(service);
        config.allowances = std::move(allowances);
        for (std::size_t at = 0; at < service.servers.size(); ++at) {
            const auto& entry = service.servers[at];
            servers[entry.name] = {entry, vms[at % vms.size()]};
        }
        std::ranges::for_each(vms, [this](const std::string& vm) { start_vm(vm); });
        spread_view();
        for (const auto& [name, server] : servers) {
            vms_.at(server.owner)
                ->gain({{"portal", server.entry, takeover::first, {}, {}}}, clock.now(),
                       clock.wall_now());
        }
    }

    dispatcher& vm(const std::string& name) { return *vms_.at(name); }
    [[nodiscard]] bool alive(const std::string& name) const { return vms_.contains(name); }

    void start_vm(const std::string& name)
    {
        lives_[name] = incarnation{++last_life_};
        const dispatch_identity identity{{name, lives_[name]}, "north"};
        vms_[name] = std::make_unique<dispatcher>(
            identity, dispatch_limits{queue_limit, policy_, last_life_},
            [this, self = identity.self](const std::string& to, peer_message_kind kind,
                                         const std::string& payload) {
                post(to, {kind, self, payload});
                return true;
            });
        vms_[name]->apply(std::make_shared<const config_snapshot>(config));
    }

    /** The vm's process dies: its calls are cut off, its memory is gone. */
    void crash(const std::string& name)
    {
        for (auto& call : calls) {
            if (call->home == name && !call->done) {
                stop_running(*call);
                call->lost = true;
                call->done = true;
            }
        }
        vms_.erase(name);
    }

    /** Moves a server with everything that is outstanding. */
    void hand_over(const std::string& server, const std::string& to)
    {
        auto& moved = servers[server];
        auto states = vm(moved.owner).give_up({{"portal", server}}, clock.now());
        moved.owner = to;
        spread_view();
        vm(to).gain({{"portal", moved.entry, takeover::handed_over, states.front(), {}}},
                    clock.now(), clock.wall_now());
    }

    /** A new owner takes a dead owner's server. */
    void take_over(const std::string& server, const std::string& to, wall_time old_permits_until)
    {
        auto& moved = servers[server];
        moved.owner = to;
        spread_view();
        vm(to).gain({{"portal", moved.entry, takeover::fenced, {}, old_permits_until}}, clock.now(),
                    clock.wall_now());
    }

    void spread_view()
    {
        ownership_view view;
        for (const auto& [name, server] : servers) {
            view.owners[{"portal", name}] = server.owner;
        }
        const auto shared = std::make_shared<const ownership_view>(view);
        std::ranges::for_each(vms_, [&](auto& item) { item.second->set_view(shared); });
    }

    fake_call& ask(const std::string& home, const std::string& plan, milliseconds timeout,
                   nanoseconds service_time)
    {
        calls.push_back(std::make_unique<fake_call>());
        auto* call = calls.back().get();
        call->home = home;
        call->plan = plan;
        call->asked = clock.now();
        call->deadline = clock.now() + timeout;
        const call_spec spec{"portal", plan, call_class::safe, call->deadline, {}};
        call->ticket = vm(home).acquire(spec, clock.now(), clock.wall_now(),
                                        [this, call, service_time](const grant_result& result) {
                                            answer(*call, result, service_time);
                                        });
        return *call;
    }

    void cancel(fake_call& call)
    {
        if (!call.done && !call.held && vm(call.home).cancel(call.ticket)) {
            call.cancelled = true;
            call.done = true;
        }
    }

    /** Moves time on, delivers messages, ends calls and ticks every vm. */
    void step(nanoseconds time = milliseconds{1})
    {
        clock.advance(time);
        while (!bus_.empty() && bus_.begin()->first <= clock.now()) {
            const auto [to, message] = bus_.begin()->second;
            bus_.erase(bus_.begin());
            if (alive(to)) {
                vm(to).on_message(message, clock.now(), clock.wall_now());
            }
        }
        const auto running = running_;
        std::ranges::for_each(running, [this](fake_call* call) { end_if_due(*call); });
        std::erase_if(running_, [](const fake_call* call) { return call->done; });
        std::ranges::for_each(
            vms_, [this](auto& item) { item.second->tick(clock.now(), clock.wall_now()); });
    }

    [[nodiscard]] bool chance(double share) { return std::bernoulli_distribution{share}(random_); }
    [[nodiscard]] std::size_t draw(std::size_t size)
    {
        return std::uniform_int_distribution<std::size_t>{0, size - 1}(random_);
    }

    std::size_t queue_limit = 1000;
    manual_clock clock;
    config_snapshot config;
    std::map<std::string, fake_server> servers;
    std::vector<std::unique_ptr<fake_call>> calls;
    /** Calls of each plan that run now, over the whole system. */
    std::map<std::string, std::uint32_t> plan_in_flight;
    std::map<std::string, std::uint32_t> most_plan_in_flight;
    /** When each slot was granted, by plan, at its owner. */
    std::map<std::string, std::vector<local_time>> grant_times;
    /** Whether calls report the server's phase. */
    bool reports = true;

private:
    void post(const std::string& to, const peer_message& message)
    {
        note_grant(message);
        if (chance(faults_.loss)) {
            return;
        }
        const int copies = chance(faults_.repeat) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            const auto most = static_cast<std::size_t>(nanoseconds{faults_.longest_delay}.count());
            bus_.emplace(clock.now() + nanoseconds{draw(most) + 1}, std::pair{to, message});
        }
    }

    /** A permit counts from the owner's reply, whenever that arrives. */
    void note_grant(const peer_message& message)
    {
        if (message.kind == peer_message_kind::permit_reply) {
            const auto reply = decode_payload<permit_reply>(message.payload);
            if (reply->permit != 0 && seen_permits_.insert(reply->permit).second) {
                permit_times_[reply->permit] = clock.now();
            }
        }
    }

    void answer(fake_call& call, const grant_result& result, nanoseconds service_time)
    {
        ++call.answers;
        if (const auto* why = std::get_if<refusal>(&result)) {
            call.refused = *why;
            call.done = true;
            return;
        }
        call.held = std::get<grant>(result);
        call.granted = clock.now();
        running_.push_back(&call);
        call.ends = std::min(clock.now() + service_time, call.deadline);
        auto& server = servers[call.held->server.server];
        ++server.in_flight;
        server.most_in_flight = std::max(server.most_in_flight, server.in_flight);
        auto& running = ++plan_in_flight[call.plan];
        most_plan_in_flight[call.plan] = std::max(most_plan_in_flight[call.plan], running);
        const auto known = permit_times_.find(call.held->permit.value);
        grant_times[call.plan].push_back(known == permit_times_.end() ? clock.now()
                                                                      : known->second);
    }

    void stop_running(fake_call& call)
    {
        if (call.held) {
            --servers[call.held->server.server].in_flight;
            --plan_in_flight[call.plan];
        }
    }

    void end_if_due(fake_call& call)
    {
        if (call.done || !call.held || call.ends > clock.now()) {
            return;
        }
        call.done = true;
        stop_running(call);
        const auto& server = servers[call.held->server.server];
        call_report report;
        report.result = call.ends < call.deadline ? call_result::answered : call_result::cancelled;
        report.latency = clock.now() - call.asked;
        if (reports) {
            report.load = load_report{server.phase, server.in_flight, server.entry.slots};
        }
        vm(call.home).release(*call.held, report, clock.now(), clock.wall_now());
    }

    std::vector<fake_call*> running_;
    random_engine random_;
    bus_faults faults_;
    std::string policy_;
    std::uint64_t last_life_ = 0;
    std::map<std::string, incarnation> lives_;
    std::map<std::string, std::unique_ptr<dispatcher>> vms_;
    std::multimap<local_time, std::pair<std::string, peer_message>> bus_;
    std::set<std::uint64_t> seen_permits_;
    std::map<std::uint64_t, local_time> permit_times_;
};

/** @p count servers with @p slots slots and one cold slot, in the failure domain north. */
inline std::vector<server_entry> make_servers(std::size_t count, std::uint32_t slots)
{
    std::vector<server_entry> entries;
    for (std::size_t at = 0; at < count; ++at) {
        entries.push_back({"s" + std::to_string(at), "127.0.0.1",
                           static_cast<std::uint16_t>(9000 + at), "north", slots, 1});
    }
    return entries;
}

} // namespace sniperock::testing

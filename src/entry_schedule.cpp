/** @file entry_schedule.cpp The thread that moves the dispatcher on. */
#include "entry_schedule.hpp"
#include "event_type.hpp"
#include "probe_runner.hpp"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <algorithm>
#include <map>
#include <ranges>
#include <thread>

namespace sniperock {
namespace {

constexpr milliseconds tick_period{5};
/** A quarter of the shortest slot of a probe. */
constexpr milliseconds probe_period{25};
constexpr milliseconds probe_timeout{250};
constexpr seconds report_period{1};

} // namespace

/** The thread, its timers and what was last shown as metrics. */
struct entry_schedule::impl {
    impl(dispatcher& with, peer_link& link, metrics& counts)
        : slots(with), measured(counts), timer(io),
          probes(io.get_executor(), probe_timeout,
                 [this](const server_key& server, const std::optional<load_report>& report) {
                     slots.on_probe(server, report, boot_clock::now(),
                                    system_clock_source::wall_now());
                 })
    {
        const auto pass_on = [this](const peer_message& message) {
            slots.on_message(message, boot_clock::now(), system_clock_source::wall_now());
        };
        link.subscribe(peer_message_kind::permit_request, pass_on);
        link.subscribe(peer_message_kind::permit_reply, pass_on);
        link.subscribe(peer_message_kind::permit_release, pass_on);
        link.subscribe(peer_message_kind::permit_hint, pass_on);
    }

    void arm()
    {
        timer.expires_after(tick_period);
        timer.async_wait([this](const asio::error_code& error) {
            if (!error) {
                tick();
                arm();
            }
        });
    }

    void tick()
    {
        const auto now = boot_clock::now();
        const auto wall = system_clock_source::wall_now();
        slots.tick(now, wall);
        if (now - probed_at >= probe_period) {
            probed_at = now;
            std::ranges::for_each(slots.take_probes(now, wall),
                                  [this](const probe_order& order) { probes.run(order); });
        }
        if (now - reported_at >= report_period) {
            reported_at = now;
            std::ranges::for_each(slots.status(),
                                  [this](const service_status& status) { show(status); });
        }
    }

    void count(const char* name, const char* help, const metric_labels& labels, std::uint64_t value,
               std::uint64_t before)
    {
        if (value > before) {
            measured.counter(name, help, labels).Increment(static_cast<double>(value - before));
        }
    }

    void show(const service_status& status)
    {
        const metric_labels labels{{"service", status.service}};
        for (const auto& [plan, waiting] : status.waiting_by_plan) {
            measured
                .gauge("sniperock_waiting_calls", "Calls that wait for a slot here",
                       {{"service", status.service}, {"plan", plan}})
                .Set(static_cast<double>(waiting));
        }
        measured.gauge("sniperock_owned_in_flight", "Calls in flight on owned servers", labels)
            .Set(static_cast<double>(status.in_flight));
        measured.gauge("sniperock_owned_limit", "Calls that owned servers bear now", labels)
            .Set(static_cast<double>(status.limit));
        auto& before = shown[status.service];
        show_counts(status, before.counts, labels);
        show_servers(status, before);
        before = status;
    }

    void show_counts(const service_status& status, const service_counts& before,
                     const metric_labels& labels)
    {
        const auto& now = status.counts;
        count("sniperock_grants_here_total", "Slots granted to calls of this vm", labels,
              now.granted_here, before.granted_here);
        count("sniperock_grants_to_peers_total", "Permits granted to other vms", labels,
              now.granted_to_peers, before.granted_to_peers);
        count("sniperock_permits_asked_total", "Permits asked of other owners", labels, now.asked,
              before.asked);
        count("sniperock_permit_requests_lost_total", "Requests that got no answer in time", labels,
              now.asks_lost, before.asks_lost);
        count("sniperock_permits_late_total", "Permits that came too late and were returned",
              labels, now.late_replies, before.late_replies);
        count("sniperock_permits_expired_total", "Permits given back by their fence", labels,
              now.expired_permits, before.expired_permits);
        count("sniperock_cold_cuts_total", "Limits cut at a sign of cold", labels, now.cold_cuts,
              before.cold_cuts);
        count("sniperock_suspensions_total", "Servers suspended after failures", labels,
              now.suspensions, before.suspensions);
        count("sniperock_probes_total", "Active probes sent", labels, now.probes, before.probes);
        for (const auto& [reason, name] : enum_names<refusal_reason>) {
            const auto at = static_cast<std::size_t>(reason);
            metric_labels with_reason = labels;
            with_reason["reason"] = name;
            count("sniperock_refusals_total", "Calls refused without running", with_reason,
                  now.refused[at], before.refused[at]);
        }
    }

    /** Logs servers whose standing or limit changed since the last report. */
    static void show_servers(const service_status& status, const service_status& before)
    {
        for (const auto& server : status.servers) {
            const auto known = std::ranges::find(before.servers, server.name, &server_status::name);
            if (known == before.servers.end()) {
                continue;
            }
            if (known->standing != server.standing) {
                log_event(event::server_standing_changed,
                          {{"service", status.service},
                           {"server", server.name},
                           {"standing", std::string{to_name(server.standing)}}});
            }
            else if (server.limit < known->limit) {
                log_event(event::server_limit_cut, {{"service", status.service},
                                                    {"server", server.name},
                                                    {"limit", std::to_string(server.limit)}});
            }
        }
    }

    dispatcher& slots;
    metrics& measured;
    asio::io_context io{1};
    asio::steady_timer timer;
    probe_runner probes;
    local_time reported_at{};
    local_time probed_at{};
    std::map<std::string, service_status> shown;
    std::thread thread;
};

entry_schedule::entry_schedule(dispatcher& slots, peer_link& link, metrics& measured)
    : impl_(std::make_unique<impl>(slots, link, measured))
{
}

entry_schedule::~entry_schedule()
{
    stop();
}

void entry_schedule::start()
{
    impl_->arm();
    impl_->thread = std::thread([this] { impl_->io.run(); });
}

void entry_schedule::stop()
{
    impl_->io.stop();
    if (impl_->thread.joinable()) {
        impl_->thread.join();
    }
}

} // namespace sniperock

/** @file demo_system.cpp The parts of the demonstration: platform, servers and entry vms. */
#include "demo_system.hpp"
#include "hash_func.hpp"
#include "settings_func.hpp"
#include "standin_config.hpp"

#include <algorithm>
#include <numeric>
#include <thread>

namespace sniperock {
namespace {

constexpr std::size_t entry_count = 4;
constexpr std::uint16_t portal_servers = 20;
constexpr std::uint16_t archive_servers = 6;
constexpr std::uint16_t server_threads = 2;
constexpr std::uint32_t slots_per_server = 3;
constexpr std::uint32_t cold_slots_per_server = 1;
constexpr milliseconds cold_time{1500};
constexpr milliseconds list_lag{200};
constexpr std::size_t ledger_limit = 1'000'000;

entry_settings make_settings(std::size_t number, int store_port)
{
    const std::string domain = demo_domains.at(number % demo_domains.size());
    const std::string name = "vm-" + std::to_string(number);
    auto settings =
        parse_settings("[vm]\nname = " + name + "\nfailure_domain = " + domain + "\n", "demo");
    settings.caller_port = 0;
    settings.admin_port = 0;
    settings.peer_port = 0;
    settings.peers_insecure = 1;
    settings.store_port = store_port;
    settings.locate_keep = milliseconds{1000};
    return settings;
}

std::string local_endpoint(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

} // namespace

demo_system::demo_system()
    : ledger_(std::make_shared<run_ledger>(ledger_limit)), platform_(list_lag),
      store_port_(platform_.start("127.0.0.1", 0)), store_("127.0.0.1", store_port_, seconds{1})
{
    config_.plans = {{"gold", {sha256_hex("gold-key")}}, {"basic", {sha256_hex("basic-key")}}};
    config_.services = {add_service("portal", portal_servers),
                        add_service("archive", archive_servers)};
    for (const auto& service : config_.services) {
        config_.allowances.push_back({"gold", service.name, 3, 0, 0});
        config_.allowances.push_back({"basic", service.name, 1, 0, 0});
    }
    seed_config(store_, config_);
}

demo_system::~demo_system()
{
    stop();
}

service_entry demo_system::add_service(const std::string& name, std::uint16_t count)
{
    fleet_options options;
    options.prefix = name;
    options.first_port = 0;
    options.count = count;
    options.threads = server_threads;
    options.behaviour.slots = slots_per_server;
    options.behaviour.cold_slots = cold_slots_per_server;
    options.behaviour.cold_time = cold_time;
    fleets_.push_back(std::make_unique<standin_fleet>(options, ledger_));
    service_entry service;
    service.name = name;
    service.hosts = {name + ".example"};
    const auto members = fleets_.back()->start();
    for (std::size_t at = 0; at < members.size(); ++at) {
        const std::string domain = demo_domains.at(at % demo_domains.size());
        service.servers.push_back({members.at(at).name, "127.0.0.1", members.at(at).port, domain,
                                   slots_per_server, cold_slots_per_server});
        servers_.push_back(
            {name, domain, options.behaviour, fleets_.back()->servers().at(at).get()});
        servers_.back().behaviour.name = members.at(at).name;
    }
    return service;
}

void demo_system::start()
{
    constexpr milliseconds step{20};
    constexpr milliseconds settle{700};
    for (std::size_t number = 0; number < entry_count; ++number) {
        nodes_.push_back(std::make_unique<entry_node>(make_settings(number, store_port_)));
        nodes_.back()->start();
    }
    const auto lagging = [](const auto& node) { return node->revision().value == 0; };
    while (std::ranges::any_of(nodes_, lagging)) {
        std::this_thread::sleep_for(step);
    }
    std::this_thread::sleep_for(settle);
}

void demo_system::stop()
{
    std::ranges::for_each(nodes_, [](const auto& node) { node->stop(); });
}

void demo_system::take_out(const std::string& domain)
{
    config_.out.domains_out.insert(domain);
    seed_config(store_, config_);
}

void demo_system::take_back(const std::string& domain)
{
    config_.out.domains_out.erase(domain);
    seed_config(store_, config_);
}

std::vector<std::string> demo_system::caller_endpoints() const
{
    std::vector<std::string> endpoints;
    std::ranges::transform(nodes_, std::back_inserter(endpoints),
                           [](const auto& node) { return local_endpoint(node->ports().callers); });
    return endpoints;
}

std::vector<std::string> demo_system::page_endpoints() const
{
    std::vector<std::string> endpoints;
    std::ranges::transform(nodes_, std::back_inserter(endpoints),
                           [](const auto& node) { return local_endpoint(node->ports().admin); });
    return endpoints;
}

std::uint64_t demo_system::calls_in(const std::string& domain) const
{
    return std::accumulate(servers_.begin(), servers_.end(), std::uint64_t{0},
                           [&](std::uint64_t sum, const demo_server& item) {
                               const bool inside = item.failure_domain == domain;
                               return sum + (inside ? item.server->record().calls : 0);
                           });
}

} // namespace sniperock

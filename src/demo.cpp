/** @file demo.cpp The whole system in one process, while a failure domain leaves and returns. */
#include "config_repository.hpp"
#include "demo_func.hpp"
#include "entry_node.hpp"
#include "hash_func.hpp"
#include "load_func.hpp"
#include "settings_func.hpp"
#include "standin_platform.hpp"
#include "standin_server.hpp"
#include "store_client.hpp"

#include <asio/executor_work_guard.hpp>

#include <algorithm>
#include <array>
#include <iostream>
#include <numeric>
#include <ranges>
#include <thread>

namespace sniperock {
namespace {

constexpr std::array<const char*, 3> domains{"north", "east", "south"};
constexpr std::size_t entry_count = 4;
constexpr std::uint32_t portal_servers = 12;
constexpr std::uint32_t archive_servers = 6;
constexpr std::uint32_t slots_per_server = 3;
constexpr seconds load_time{12};
constexpr seconds out_after{4};
constexpr seconds back_after{4};

/** Stand-in servers of all services and the thread that runs them. */
class demo_servers {
public:
    demo_servers() : guard_(asio::make_work_guard(io_)), thread_([this] { io_.run(); }) {}
    ~demo_servers()
    {
        io_.stop();
        thread_.join();
    }
    demo_servers(const demo_servers&) = delete;
    demo_servers& operator=(const demo_servers&) = delete;

    service_entry add_service(const std::string& name, std::uint32_t count)
    {
        service_entry service;
        service.name = name;
        service.hosts = {name + ".example"};
        for (std::uint32_t at = 0; at < count; ++at) {
            server_behaviour behaviour;
            behaviour.name = name + "-" + std::to_string(at);
            behaviour.slots = slots_per_server;
            behaviour.seed = at + 1;
            auto server = std::make_unique<standin_server>(io_, behaviour);
            const auto port = server->start("127.0.0.1", 0);
            service.servers.push_back({behaviour.name, "127.0.0.1", port,
                                       domains.at(at % domains.size()), slots_per_server, 1});
            servers_.push_back(std::move(server));
        }
        return service;
    }

    /** The most calls that any server ever ran at a time. */
    [[nodiscard]] std::uint32_t most_in_flight() const
    {
        std::uint32_t most = 0;
        for (const auto& server : servers_) {
            most = std::max(most, server->record().most_in_flight);
        }
        return most;
    }

private:
    asio::io_context io_{1};
    asio::executor_work_guard<asio::io_context::executor_type> guard_;
    std::vector<std::unique_ptr<standin_server>> servers_;
    std::thread thread_;
};

config_snapshot make_config(demo_servers& servers)
{
    config_snapshot config;
    config.plans = {{"gold", {sha256_hex("gold-key")}}, {"basic", {sha256_hex("basic-key")}}};
    config.services = {servers.add_service("portal", portal_servers),
                       servers.add_service("archive", archive_servers)};
    for (const auto& service : config.services) {
        config.allowances.push_back({"gold", service.name, 3, 0, 0});
        config.allowances.push_back({"basic", service.name, 1, 0, 0});
    }
    return config;
}

entry_settings make_settings(std::size_t number, int store_port)
{
    const std::string name = "vm-" + std::to_string(number);
    auto settings = parse_settings(
        "[vm]\nname = " + name + "\nfailure_domain = " + domains.at(number % domains.size()) + "\n",
        "demo");
    settings.caller_port = 0;
    settings.admin_port = 0;
    settings.peer_port = 0;
    settings.store_port = store_port;
    return settings;
}

void wait_until_in_force(const std::vector<std::unique_ptr<entry_node>>& nodes,
                         std::uint64_t revision)
{
    constexpr milliseconds step{20};
    const auto lagging = [revision](const auto& node) { return node->revision().value < revision; };
    while (std::ranges::any_of(nodes, lagging)) {
        std::this_thread::sleep_for(step);
    }
}

load_plan make_load(const std::vector<std::unique_ptr<entry_node>>& nodes)
{
    load_plan plan;
    for (const auto& node : nodes) {
        plan.targets.push_back("127.0.0.1:" + std::to_string(node->ports().callers));
    }
    plan.duration = load_time;
    plan.streams = {{"gold", "gold-key", "portal.example", "GET", "/status", 300},
                    {"basic", "basic-key", "portal.example", "GET", "/status", 300},
                    {"gold", "gold-key", "portal.example", "POST", "/bookings", 30},
                    {"basic", "basic-key", "archive.example", "GET", "/scans/1", 100}};
    return plan;
}

/** True if no answer was lost, cut off, crossed or unknown. */
bool promises_held(const load_result& result)
{
    return std::ranges::all_of(result | std::views::values, [](const load_counts& counts) {
        return counts.cut_off == 0 && counts.crossed == 0 && counts.unknown == 0 &&
               counts.answered > 0;
    });
}

} // namespace

int run_demo()
{
    constexpr milliseconds settle{700};
    standin_platform platform(milliseconds{200});
    const int store_port = platform.start("127.0.0.1", 0);
    demo_servers servers;
    auto config = make_config(servers);
    store_client store("127.0.0.1", store_port, seconds{1});
    config_bootstrap(store, config);

    std::vector<std::unique_ptr<entry_node>> nodes;
    for (std::size_t number = 0; number < entry_count; ++number) {
        nodes.push_back(std::make_unique<entry_node>(make_settings(number, store_port)));
        nodes.back()->start();
    }
    wait_until_in_force(nodes, 1);
    std::this_thread::sleep_for(settle);
    for (const auto& node : nodes) {
        std::cout << "pages: http://127.0.0.1:" << node->ports().admin << "/status\n";
    }

    const auto plan = make_load(nodes);
    load_result result;
    std::thread load([&] { result = run_load(plan); });
    std::this_thread::sleep_for(out_after);
    std::cout << "taking failure domain south out" << std::endl;
    config.out.domains_out.insert("south");
    config_bootstrap(store, config);
    std::this_thread::sleep_for(back_after);
    std::cout << "taking failure domain south back" << std::endl;
    config.out.domains_out.erase("south");
    config_bootstrap(store, config);
    load.join();
    std::cout << format_result(result)
              << "most in flight on one server: " << servers.most_in_flight() << " of "
              << slots_per_server << "\n";
    const bool held = promises_held(result) && servers.most_in_flight() <= slots_per_server;
    std::cout << (held ? "every promise held\n" : "a promise was broken\n");
    std::ranges::for_each(nodes, [](auto& node) { node->stop(); });
    return held ? 0 : 1;
}

} // namespace sniperock

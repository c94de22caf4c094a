/** @file demo_system.hpp The parts of the demonstration: platform, servers and entry vms. */
#pragma once

#include "config_type.hpp"
#include "entry_node.hpp"
#include "load_type.hpp"
#include "standin_fleet.hpp"
#include "standin_platform.hpp"
#include "store_client.hpp"

#include <array>
#include <memory>
#include <string>
#include <vector>

namespace sniperock {

/** Failure domains of the demonstration. */
inline constexpr std::array<const char*, 3> demo_domains{"north", "east", "south"};
/** The failure domain that is taken out and back. */
inline constexpr const char* demo_leaving_domain = "south";

/** One stand-in server and where it stands. */
struct demo_server {
    std::string service;
    std::string failure_domain;
    server_behaviour behaviour;
    standin_server* server = nullptr;
};

/** Runs everything in this process, on threads. */
class demo_system {
public:
    demo_system();
    ~demo_system();
    demo_system(const demo_system&) = delete;
    demo_system& operator=(const demo_system&) = delete;

    /** Starts the entry vms and waits until all have the configuration in force. */
    void start();
    /** Stops the entry vms gracefully. */
    void stop();
    /** Takes a failure domain out of service. */
    void take_out(const std::string& domain);
    /** Takes a failure domain back. */
    void take_back(const std::string& domain);
    /** Callers' endpoints of all entry vms. */
    [[nodiscard]] std::vector<std::string> caller_endpoints() const;
    /** Endpoints of all pages. */
    [[nodiscard]] std::vector<std::string> page_endpoints() const;
    [[nodiscard]] const std::vector<demo_server>& servers() const { return servers_; }
    [[nodiscard]] const run_ledger& ledger() const { return *ledger_; }
    /** Calls that ever began on the servers of @p domain. */
    [[nodiscard]] std::uint64_t calls_in(const std::string& domain) const;

private:
    service_entry add_service(const std::string& name, std::uint16_t count);

    std::shared_ptr<run_ledger> ledger_;
    standin_platform platform_;
    int store_port_;
    store_client store_;
    std::vector<std::unique_ptr<standin_fleet>> fleets_;
    std::vector<demo_server> servers_;
    config_snapshot config_;
    std::vector<std::unique_ptr<entry_node>> nodes_;
};

} // namespace sniperock

/** @file entry_config_test.cpp Administration of several vms through the store stand-in. */
#include "config_func.hpp"
#include "config_repository.hpp"
#include "ctl_type.hpp"
#include "entry_config.hpp"
#include "hash_func.hpp"
#include "page_server.hpp"
#include "settings_func.hpp"
#include "standin_platform.hpp"
#include "store_client.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <thread>

using namespace sniperock;

namespace {

using json = nlohmann::json;

constexpr const char* key = "first key";

/** One vm: link, configuration and pages. */
struct admin_vm {
    admin_vm(const std::string& name, int store_port)
        : settings(parse_settings("[vm]\nname = " + name + "\nfailure_domain = " + name +
                                      "-domain\n[admin]\nfirst_key_sha256 = " + sha256_hex(key) +
                                      "\n[store]\ntimeout = 300\n",
                                  "test")),
          link({name, incarnation{1}}, peer_keys(std::vector<peer_key>{{"1", "peers"}}))
    {
        settings.store_port = store_port;
        configuration = std::make_unique<entry_config>(settings, link, measured);
        configuration->mount(pages.server());
        link.start("127.0.0.1", 0);
        pages.start([] { return json{}; }, [] { return true; }, [] { return std::string{}; });
        configuration->start();
    }

    ~admin_vm()
    {
        pages.stop();
        configuration->stop();
        link.stop();
    }

    admin_vm(const admin_vm&) = delete;
    admin_vm& operator=(const admin_vm&) = delete;

    std::string server() const { return "127.0.0.1:" + std::to_string(pages.port()); }

    bool is_out(const std::string& domain) const
    {
        return configuration->snapshot()->out.domains_out.contains(domain);
    }

    entry_settings settings;
    metrics measured;
    peer_link link;
    std::unique_ptr<entry_config> configuration;
    page_server pages{"127.0.0.1", 0};
};

/** Waits for a condition; the caller checks it afterwards. */
template <typename Condition>
bool wait_for(const Condition& holds)
{
    constexpr seconds limit{60};
    const auto until = boot_clock::now() + limit;
    while (!holds() && boot_clock::now() < until) {
        std::this_thread::sleep_for(milliseconds{5});
    }
    return holds();
}

/** Three vms on one store. */
struct admin_fleet {
    admin_fleet()
    {
        store_port = platform.start("127.0.0.1", 0);
        store_client store("127.0.0.1", store_port, seconds{5});
        config_snapshot snapshot;
        snapshot.plans = {{"gold", {}}};
        snapshot.services = {
            {"portal",
             {},
             "/",
             1,
             {{"a", "127.0.0.1", 80, "north", 3, 1}, {"b", "127.0.0.1", 81, "south", 3, 1}}}};
        config_bootstrap(store, snapshot);
        for (const auto* name : {"vm-0", "vm-1", "vm-2"}) {
            vms.push_back(std::make_unique<admin_vm>(name, store_port));
        }
        connect();
        REQUIRE(wait_for([&] {
            return all([](const admin_vm& vm) {
                return vm.configuration->snapshot()->revision.value == 1;
            });
        }));
    }

    void connect()
    {
        std::vector<vm_record> records;
        std::vector<peer_address> peers;
        for (const auto& vm : vms) {
            const auto endpoint = "127.0.0.1:" + std::to_string(vm->link.port());
            records.push_back({vm->settings.vm_name, vm->settings.failure_domain, endpoint, "",
                               vm->server(), 1, vm_state::live});
            peers.push_back({vm->settings.vm_name, endpoint});
        }
        for (const auto& vm : vms) {
            vm->link.set_peers(peers);
            vm->configuration->set_vms(records);
        }
        // Every vm has to be heard before reports about all of them make sense.
        REQUIRE(wait_for([&] {
            return all([](const admin_vm& vm) {
                const auto status = vm.configuration->status();
                return std::ranges::all_of(status.at("vms"), [](const json& item) {
                    return item.at("reached").get<bool>();
                });
            });
        }));
    }

    template <typename Condition>
    bool all(const Condition& holds) const
    {
        return std::ranges::all_of(vms, [&](const auto& vm) { return holds(*vm); });
    }

    ctl_reply send(std::size_t vm, const std::string& method, const std::string& path,
                   const std::string& body = "", const std::string& with_key = key)
    {
        const auto outcome =
            send_request({{vms.at(vm)->server()}, with_key}, {method, path, body, "", {}});
        return outcome.reply.value_or(ctl_reply{});
    }

    json send_json(std::size_t vm, const std::string& method, const std::string& path,
                   const std::string& body = "")
    {
        return json::parse(send(vm, method, path, body).body);
    }

    standin_platform platform{milliseconds{0}};
    int store_port = 0;
    std::vector<std::unique_ptr<admin_vm>> vms;
};

} // namespace

TEST_CASE("a change through one vm is in force on all, and shown so")
{
    admin_fleet fleet;
    const auto answer = fleet.send_json(1, "POST", "/v1/domains/north/out?wait_ms=10000");
    CHECK(answer.at("outcome") == "accepted");
    CHECK(answer.at("in_force").size() == 3);
    CHECK(answer.at("recorded") == true);
    CHECK(fleet.all([](const admin_vm& vm) { return vm.is_out("north"); }));
    const auto audit = fleet.send_json(2, "GET", "/v1/audit");
    REQUIRE(audit.at("changes").size() == 1);
    CHECK(audit.at("changes").at(0).at("who") == "first-key");
}

TEST_CASE("a take-out in an outage holds everywhere, is recorded later, and outlives its vm")
{
    admin_fleet fleet;
    fleet.platform.set_faults({true, milliseconds{0}, 0});
    CHECK(fleet.send(0, "PUT", "/v1/plans", format_plans({})).status == 503);
    const auto answer = fleet.send_json(0, "POST", "/v1/domains/north/out");
    CHECK(answer.at("outcome") == "unrecorded");
    CHECK(answer.at("recorded") == false);
    CHECK(fleet.all([](const admin_vm& vm) { return vm.is_out("north"); }));
    fleet.vms.erase(fleet.vms.begin());
    fleet.platform.set_faults({});
    REQUIRE(wait_for([&] {
        return fleet.all([](const admin_vm& vm) {
            const auto snapshot = vm.configuration->snapshot();
            return snapshot->revision.value == 2 && snapshot->unrecorded == 0;
        });
    }));
    CHECK(fleet.all([](const admin_vm& vm) { return vm.is_out("north"); }));
    const auto audit = fleet.send_json(0, "GET", "/v1/audit");
    CHECK(audit.at("changes").at(0).at("change_id") == answer.at("change_id"));
}

TEST_CASE("change ids are judged in an outage as well")
{
    admin_fleet fleet;
    fleet.platform.set_faults({true, milliseconds{0}, 0});
    const auto id = make_change_id(system_clock_source::wall_now(), 7);
    const auto ask = [&](const std::string& domain, const std::string& with_id) {
        const auto outcome =
            send_request({{fleet.vms[0]->server()}, key},
                         {"POST", "/v1/domains/" + domain + "/out", "", with_id, {}});
        return outcome.reply.value_or(ctl_reply{}).status;
    };
    CHECK(ask("north", "malformed") == 400);
    CHECK(ask("north", id) == 202);
    CHECK(ask("north", id) == 202);
    CHECK(ask("vm-1-domain", id) == 400);
    CHECK_FALSE(fleet.vms[0]->is_out("vm-1-domain"));
    CHECK(fleet.vms[0]->configuration->snapshot()->unrecorded == 1);
}

TEST_CASE("an unrecorded take-out counts when another one is tested")
{
    admin_fleet fleet;
    fleet.platform.set_faults({true, milliseconds{0}, 0});
    CHECK(fleet.send(0, "POST", "/v1/domains/north/out").status == 202);
    fleet.platform.set_faults({});
    CHECK(fleet.send(1, "POST", "/v1/domains/south/out").status == 422);
    CHECK(fleet.send(1, "POST", "/v1/domains/south/out?force=1").status == 200);
    REQUIRE(wait_for([&] {
        return fleet.all(
            [](const admin_vm& vm) { return vm.configuration->snapshot()->unrecorded == 0; });
    }));
    CHECK(fleet.all([](const admin_vm& vm) { return vm.is_out("north") && vm.is_out("south"); }));
}

TEST_CASE("of several unrecorded changes of one failure domain the last one is recorded")
{
    admin_fleet fleet;
    fleet.platform.set_faults({true, milliseconds{0}, 0});
    std::string last;
    for (const auto* way : {"out", "in", "out", "in"}) {
        const auto answer = fleet.send_json(0, "POST", std::string{"/v1/domains/north/"} + way);
        CHECK(answer.at("outcome") == "unrecorded");
        last = answer.at("change_id");
    }
    fleet.platform.set_faults({});
    REQUIRE(wait_for([&] {
        return fleet.all(
            [](const admin_vm& vm) { return vm.configuration->snapshot()->unrecorded == 0; });
    }));
    CHECK(fleet.all([](const admin_vm& vm) { return !vm.is_out("north"); }));
    const auto audit = fleet.send_json(1, "GET", "/v1/audit");
    REQUIRE(audit.at("changes").size() == 1);
    CHECK(audit.at("changes").at(0).at("change_id") == last);
}

TEST_CASE("a slow store delays no take-out")
{
    admin_fleet fleet;
    fleet.platform.set_faults({false, seconds{30}, 0});
    const auto answer = fleet.send_json(0, "POST", "/v1/domains/north/out");
    CHECK(answer.at("outcome") == "unrecorded");
    CHECK(fleet.all([](const admin_vm& vm) { return vm.is_out("north"); }));
    fleet.platform.set_faults({});
}

TEST_CASE("a new vm learns the configuration while the store is down")
{
    admin_fleet fleet;
    fleet.platform.set_faults({true, milliseconds{0}, 0});
    fleet.vms.push_back(std::make_unique<admin_vm>("vm-3", fleet.store_port));
    fleet.connect();
    CHECK(
        wait_for([&] { return fleet.vms.back()->configuration->snapshot()->revision.value == 1; }));
}

TEST_CASE("keys and roles: rotated without restart")
{
    admin_fleet fleet;
    CHECK(fleet.send(0, "GET", "/v1/status", "", "wrong").status == 401);
    const auto admins = format_admins({{"ann", admin_role::administer, {sha256_hex("ann")}},
                                       {"rob", admin_role::read, {sha256_hex("rob")}}});
    CHECK(fleet.send(0, "PUT", "/v1/admins?wait_ms=10000", admins).status == 200);
    CHECK(fleet.send(1, "GET", "/v1/status").status == 401);
    CHECK(fleet.send(1, "GET", "/v1/status", "", "rob").status == 200);
    CHECK(fleet.send(1, "POST", "/v1/domains/north/out", "", "rob").status == 403);
    CHECK(fleet.send(1, "GET", "/v1/admins", "", "rob").status == 403);
    CHECK(fleet.send(1, "POST", "/v1/domains/north/out", "", "ann").status == 200);
}

TEST_CASE("bad requests are refused with all findings")
{
    admin_fleet fleet;
    const auto reply = fleet.send(0, "PUT", "/v1/plans", R"({"schema": 1, "plans": [{}], "x": 1})");
    CHECK(reply.status == 422);
    CHECK(json::parse(reply.body).at("findings").size() == 3);
    CHECK(fleet.send(0, "PUT", "/v1/plans", std::string(max_object_bytes + 1, ' ')).status == 413);
    CHECK(fleet.send(0, "POST", "/v1/domains/nowhere/out").status == 422);
    CHECK(fleet.send(0, "POST", "/v1/domains/north/out?wait_ms=soon").status == 400);
    CHECK(fleet.send(0, "POST", "/v1/domains/north/out?dry_run=1").status == 200);
    CHECK(fleet.vms.front()->configuration->snapshot()->revision.value == 1);
}

TEST_CASE("the client settles a lost answer and says how a command ended")
{
    admin_fleet fleet;
    ctl_options options;
    options.target = {{"127.0.0.1:1", fleet.vms[0]->server(), fleet.vms[1]->server()}, key};
    options.wait = seconds{10};
    options.words = {"domain", "out", "north"};
    fleet.platform.set_faults({false, milliseconds{0}, 1});
    CHECK(run_ctl(options) == ctl_exit::done);
    CHECK(fleet.vms[0]->configuration->snapshot()->revision.value == 2);
    options.if_revision = 1;
    options.words = {"domain", "in", "north"};
    CHECK(run_ctl(options) == ctl_exit::conflict);
    options.if_revision.reset();
    options.words = {"vm", "out", "nobody"};
    CHECK(run_ctl(options) == ctl_exit::refused);
    options.words = {"status"};
    CHECK(run_ctl(options) == ctl_exit::done);
    options.target.key = "wrong";
    CHECK(run_ctl(options) == ctl_exit::no_permission);
    options.words = {"nonsense"};
    CHECK(run_ctl(options) == ctl_exit::usage);
    options.target.servers = {"127.0.0.1:1"};
    options.words = {"status"};
    CHECK(run_ctl(options) == ctl_exit::unreachable);
}

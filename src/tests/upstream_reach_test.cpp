/** @file upstream_reach_test.cpp When the upstreams of a service count as unreachable. */
#include "upstream_health.hpp"
#include "upstream_reach.hpp"

#include <catch2/catch.hpp>

using namespace sniperock;

namespace {

/** A registry of some upstreams, with a clock of its own. */
struct reach_fixture {
    explicit reach_fixture(int jobs = 8, int files = 3)
    {
        for (int i = 0; i < jobs; ++i) {
            add("jobs", i);
        }
        for (int i = 0; i < files; ++i) {
            add("files", i);
        }
    }

    void add(const std::string& service, int number)
    {
        upstream_entry entry;
        entry.id = service + std::to_string(number);
        entry.service = service;
        entry.failure_domain = "north";
        registry.put(entry, now);
    }
    upstream& at(const std::string& id) { return *registry.find(id); }
    void answer(const std::string& id) { handle_response(at(id), now); }
    void silence(const std::string& id) { handle_no_response(at(id), false, now); }
    void silence_all()
    {
        registry.for_each([this](upstream& item) { handle_no_response(item, false, now); });
    }

    local_time now{std::chrono::hours{1}};
    upstream_registry registry{milliseconds{2000}};
    std::vector<std::string> probed;
    upstream_reach reach{registry,
                         [this](const upstream_ptr& item) { probed.push_back(item->entry.id); }};
};

} // namespace

TEST_CASE("a service is unreachable once some of its upstreams are silent and none answers")
{
    reach_fixture vm;
    vm.answer("jobs0");
    vm.now += milliseconds{50};
    vm.silence("jobs1");
    vm.silence("jobs2");
    vm.now += milliseconds{200};
    CHECK_FALSE(vm.reach.update(vm.now));
    vm.silence("jobs3");
    CHECK(vm.reach.update(vm.now));
    CHECK(vm.reach.unreachable("jobs"));
    CHECK_FALSE(vm.reach.unreachable("files"));
    vm.answer("jobs4");
    CHECK(vm.reach.update(vm.now));
    CHECK_FALSE(vm.reach.unreachable("jobs"));
}

TEST_CASE("silent upstreams beside one that answers do not make a service unreachable")
{
    reach_fixture vm;
    for (int i = 0; i < 100; ++i) {
        for (int silent = 1; silent < 8; ++silent) {
            vm.silence("jobs" + std::to_string(silent));
        }
        vm.now += milliseconds{40};
        vm.answer("jobs0");
        vm.reach.update(vm.now);
        CHECK_FALSE(vm.reach.unreachable("jobs"));
        vm.now += milliseconds{40};
    }
}

TEST_CASE("a VM is isolated when it reaches no upstream of any service")
{
    reach_fixture vm;
    for (int i = 0; i < 8; ++i) {
        vm.silence("jobs" + std::to_string(i));
    }
    vm.now += milliseconds{10};
    vm.answer("files0");
    vm.now += milliseconds{200};
    vm.reach.update(vm.now);
    CHECK(vm.reach.unreachable("jobs"));
    CHECK_FALSE(vm.reach.isolated());
    vm.silence_all();
    vm.now += milliseconds{200};
    vm.reach.update(vm.now);
    // Whether the service that was not used is reachable is not known.
    CHECK(vm.reach.unreachable("files"));
    CHECK(vm.reach.isolated());
    vm.answer("files0");
    vm.reach.update(vm.now);
    CHECK_FALSE(vm.reach.isolated());
}

TEST_CASE("unreachable services are probed on, all their upstreams in turn, at a bounded rate")
{
    reach_fixture vm(8, 0);
    vm.silence_all();
    for (int i = 0; i < 100; ++i) {
        vm.now += milliseconds{100};
        vm.reach.update(vm.now);
    }
    CHECK(std::set<std::string>(vm.probed.begin(), vm.probed.end()).size() == 8);
    constexpr std::size_t rounds = 25;
    constexpr std::size_t probes_a_round = 3;
    CHECK(vm.probed.size() <= rounds * probes_a_round);
}

TEST_CASE("a service with a single upstream is unreachable when that is silent")
{
    reach_fixture vm(1, 3);
    vm.answer("jobs0");
    vm.now += seconds{1};
    vm.silence("jobs0");
    vm.reach.update(vm.now);
    CHECK(vm.reach.unreachable("jobs"));
}

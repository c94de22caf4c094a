/** @file standin_platform_test.cpp Each fault of the platform stand-in as a client sees it. */
#include "finding_type.hpp"
#include "standin_meter.hpp"
#include "standin_platform.hpp"
#include "standin_vm_list.hpp"
#include "store_client.hpp"

#include <catch2/catch.hpp>
#include <httplib.h>

#include <future>
#include <thread>

using namespace sniperock;

namespace {

constexpr seconds long_time{20};

} // namespace

TEST_CASE("a write can be lost with its reply, or take effect without it")
{
    standin_platform platform(milliseconds{0});
    store_client store("127.0.0.1", platform.start("127.0.0.1", 0), long_time);
    platform_faults faults;
    faults.lost_requests = 1;
    platform.set_faults(faults);
    CHECK(store.put("k", "one", 0).status == put_status::unsure);
    CHECK_FALSE(store.get("k"));
    faults = {};
    faults.lost_replies = 1;
    platform.set_faults(faults);
    CHECK(store.put("k", "two", 0).status == put_status::unsure);
    CHECK(store.get("k")->value == "two");
    CHECK(store.put("k", "three", 1).status == put_status::accepted);
}

TEST_CASE("an outage ends waiting watches at once")
{
    standin_platform platform(milliseconds{0});
    store_client store("127.0.0.1", platform.start("127.0.0.1", 0), long_time);
    auto watch = std::async(std::launch::async, [&store] {
        try {
            store.watch("k", 0, std::chrono::hours{1});
            return false;
        }
        catch (const store_unavailable&) {
            return true;
        }
    });
    while (platform.counts().waiting == 0) {
        std::this_thread::sleep_for(milliseconds{1});
    }
    platform_faults faults;
    faults.down = true;
    platform.set_faults(faults);
    CHECK(watch.get());
}

TEST_CASE("an outage can hit one vm only")
{
    standin_platform platform(milliseconds{0});
    httplib::Client client("127.0.0.1", platform.start("127.0.0.1", 0));
    platform_faults faults;
    faults.down_for = {"vm-1"};
    platform.set_faults(faults);
    CHECK(client.Get("/v1/vms", {{"X-Vm", "vm-1"}})->status == 503);
    CHECK(client.Get("/v1/vms", {{"X-Vm", "vm-2"}})->status == 200);
    CHECK(platform.counts().refused == 1);
}

TEST_CASE("calls above the rate limit get 429 and are counted")
{
    standin_platform platform(milliseconds{0});
    httplib::Client client("127.0.0.1", platform.start("127.0.0.1", 0));
    client.set_keep_alive(true);
    platform_faults faults;
    faults.rate_limit = 1;
    platform.set_faults(faults);
    constexpr std::uint64_t calls = 200;
    std::uint64_t limited = 0;
    for (std::uint64_t call = 0; call < calls; ++call) {
        limited += client.Get("/v1/vms")->status == 429 ? 1 : 0;
    }
    CHECK(limited > 0);
    const auto counts = platform.counts();
    CHECK(counts.lists == calls);
    CHECK(counts.limited == limited);
}

TEST_CASE("a removed object is gone, and its versions never fall back")
{
    platform_objects objects;
    objects.put("k", "one", 0);
    objects.put("k", "two", 1);
    objects.remove("k");
    CHECK_FALSE(objects.get("k"));
    CHECK(objects.put("k", "three", 2).status == put_status::conflict);
    CHECK(objects.put("k", "three", 0).version == 3);
}

TEST_CASE("the list of vms lags, and a vm that is not renewed vanishes")
{
    manual_clock clock;
    lagging_vm_list vms(milliseconds{100}, milliseconds{1000});
    vms.announce("a", "live", clock.now());
    CHECK(vms.shown(clock.now()).empty());
    clock.advance(milliseconds{100});
    CHECK(vms.shown(clock.now()) == std::vector<std::string>{"live"});
    vms.announce("a", "leaving", clock.now());
    CHECK(vms.shown(clock.now()) == std::vector<std::string>{"live"});
    clock.advance(milliseconds{1100});
    CHECK(vms.shown(clock.now()) == std::vector<std::string>{"leaving"});
    clock.advance(milliseconds{1});
    CHECK(vms.shown(clock.now()).empty());
    vms.announce("a", "live", clock.now());
    vms.remove("a", clock.now());
    clock.advance(milliseconds{100});
    CHECK(vms.shown(clock.now()).empty());
}

TEST_CASE("a meter keeps the total and the busiest second")
{
    manual_clock clock;
    call_meter meter;
    for (int call = 0; call < 3; ++call) {
        meter.add(clock.now());
    }
    clock.advance(seconds{1});
    CHECK(meter.rate(clock.now()) == 0);
    meter.add(clock.now());
    CHECK(meter.rate(clock.now()) == 1);
    CHECK(meter.total() == 4);
    CHECK(meter.peak() == 3);
}

TEST_CASE("faults are read from JSON and unknown ones refused")
{
    const auto faults = parse_platform_faults(
        R"({"delay_ms": 5, "jitter_ms": 2, "down_for": ["vm-1"], "rate_limit": 9})");
    CHECK(faults.delay == milliseconds{5});
    CHECK(faults.down_for.contains("vm-1"));
    CHECK_THROWS_AS(parse_platform_faults(R"({"dwon": true})"), invalid_input);
    CHECK_THROWS_AS(parse_platform_faults(R"({"down": 3})"), invalid_input);
}

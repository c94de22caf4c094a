/** @file epoch_property_test.cpp Seeded schedules of faults over three to seven vms.
 *
 * SNIPEROCK_SEED=NUMBER ./test_ownership "[schedules]" runs one schedule;
 * SNIPEROCK_SEEDS=COUNT runs that many.
 */
#include "tests/epoch_simulation.hpp"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <string>

using namespace sniperock;
using namespace sniperock::simulation;

namespace {

constexpr std::uint64_t default_schedules = 2000;
constexpr milliseconds schedule_length{15'000};
/** All faults over, every server must be granted again within this. */
constexpr milliseconds recovery_bound{15'000};

epoch_settings short_hold_down()
{
    epoch_settings times;
    times.hold_down = milliseconds{3000};
    times.list_lag = milliseconds{2000};
    times.prune_after = milliseconds{2000};
    return times;
}

std::set<std::size_t> some_vms(world& all)
{
    std::set<std::size_t> side;
    for (std::size_t at = 0; at < all.hosts.size(); ++at) {
        if (all.chance(50)) {
            side.insert(at);
        }
    }
    return side;
}

/** One step of trouble, chosen at random. */
void disturb(world& all)
{
    const auto vm = all.any(all.hosts.size());
    switch (all.any(14)) {
    case 0:
    case 1:
        all.crash(vm, all.chance(30));
        break;
    case 2:
    case 3:
        if (!all.hosts[vm].running) {
            all.start(vm);
        }
        break;
    case 4:
        all.crash(vm, false);
        all.start(vm);
        break;
    case 5:
        all.pause(vm, all.between(milliseconds{100}, milliseconds{4000}));
        break;
    case 6:
        all.cut(some_vms(all), all.chance(70));
        break;
    case 7:
        for (const auto at : some_vms(all)) {
            all.hosts[at].store_reachable = false;
        }
        break;
    case 8:
        all.store_up = !all.store_up;
        break;
    case 9:
        all.heal();
        all.faults = {static_cast<int>(all.any(30)), static_cast<int>(all.any(10)),
                      static_cast<int>(all.any(10)), static_cast<int>(all.any(60)),
                      static_cast<int>(all.any(30))};
        all.store_delay_most = milliseconds{all.chance(30) ? 900 : 5};
        break;
    case 10:
        all.change_config();
        break;
    case 11:
    case 12:
        all.heal();
        all.scramble();
        break;
    default:
        all.leave(vm);
        break;
    }
}

/** Ends every fault and gives every vm a process that stays. */
void restore(world& all)
{
    all.heal();
    for (std::size_t at = 0; at < all.hosts.size(); ++at) {
        auto& item = all.hosts[at];
        item.paused_until = std::min(item.paused_until, all.now);
        if (item.running && item.running->leaving) {
            all.crash(at, false);
        }
        if (!item.running) {
            all.start(at);
        }
    }
}

/** Runs one schedule. @return what went wrong; empty if nothing did. */
std::string run_schedule(std::uint64_t seed)
{
    random_engine sizes(seed);
    world all(seed, std::uniform_int_distribution<std::size_t>(3, 7)(sizes), short_hold_down());
    for (std::size_t at = 0; at < all.hosts.size(); ++at) {
        all.start(at);
    }
    all.run_for(all.between(milliseconds{0}, milliseconds{4000}));
    while (all.now < schedule_length && all.broken.empty()) {
        disturb(all);
        all.run_for(all.between(milliseconds{10}, milliseconds{1500}));
    }
    restore(all);
    if (!all.run_until([&] { return all.all_granted(); }, recovery_bound) && all.broken.empty()) {
        return "not all servers are granted again in time";
    }
    return all.broken;
}

std::optional<std::uint64_t> number_from(const char* variable)
{
    const char* text = std::getenv(variable);
    return text == nullptr ? std::nullopt : std::optional{std::strtoull(text, nullptr, 10)};
}

} // namespace

TEST_CASE("no schedule of faults gives a server two owners, and service returns", "[schedules]")
{
    const auto one = number_from("SNIPEROCK_SEED");
    const auto first = one.value_or(1);
    const auto count = one ? 1 : number_from("SNIPEROCK_SEEDS").value_or(default_schedules);
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        const auto fault = run_schedule(seed);
        INFO(fault);
        INFO("SNIPEROCK_SEED=" << seed << " ./test_ownership \"[schedules]\"");
        REQUIRE(fault.empty());
    }
}

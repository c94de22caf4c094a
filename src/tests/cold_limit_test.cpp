/** @file cold_limit_test.cpp Limits on the requests to cold upstreams. */
#include "cold_limit.hpp"

#include <catch2/catch.hpp>

#include <map>
#include <vector>

using namespace sniperock;

namespace {

constexpr cold_bounds bounds{7.9, 1.5, 5};
constexpr double max_per_s = 7.9 * 1.5 + 5;

std::vector<std::string> vm_names(int count)
{
    std::vector<std::string> result;
    result.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        result.push_back("vm-" + std::to_string(i));
    }
    return result;
}

/** Maximum number of requests that a cold upstream receives in any second if every VM sends as many
 * as it may. */
std::size_t max_received(int vms)
{
    const auto fleet = vm_names(vms);
    std::vector<upstream> views(fleet.size());
    sliding_count sent{seconds{1}};
    std::size_t max_count = 0;
    for (local_time now{seconds{50}}; now < local_time{seconds{55}}; now += milliseconds{10}) {
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            views[i].entry.id = "u-1";
            if (cold_limit_allows(views[i], bounds, {fleet[i], fleet, true}, now)) {
                views[i].cold_sends.add(now);
                sent.add(now);
            }
        }
        max_count = std::max(max_count, sent.count(now));
    }
    return max_count;
}

} // namespace

TEST_CASE("mass return: all VMs together send a cold upstream no more than what its limit allows")
{
    for (const int vms : {1, 2, 12, 13, 30, 104, 300}) {
        CHECK(static_cast<double>(max_received(vms)) <= max_per_s);
        CHECK(max_received(vms) > 0);
    }
}

TEST_CASE("mass return after a mass restart: a VM that does not yet know the fleet sends nothing")
{
    upstream item;
    item.entry.id = "u-1";
    CHECK_FALSE(
        cold_limit_allows(item, bounds, {"vm-1", {"vm-1"}, false}, local_time{seconds{50}}));
}

TEST_CASE("a cold upstream of a service that states no rate has no limit")
{
    upstream item;
    CHECK(cold_limit_allows(item, {0, 1.5, 5}, {"vm-1", {"vm-1"}, false}, local_time{seconds{50}}));
}

TEST_CASE("an upstream is cold until the end of its cold time")
{
    upstream item;
    item.cold_until = local_time{seconds{10}};
    CHECK(is_cold(item, local_time{seconds{9}}));
    CHECK_FALSE(is_cold(item, local_time{seconds{10}}));
}

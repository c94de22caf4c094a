/** @file cold_limit_test.cpp Loads on upstreams that are cold. */
#include "cold_limit.hpp"

#include <catch2/catch.hpp>

#include <map>
#include <vector>

using namespace sniperock;

namespace {

constexpr cold_bounds bounds{7.9, 1.5, 5};
constexpr double most_in_a_second = 7.9 * 1.5 + 5;

std::vector<std::string> names(int count)
{
    std::vector<std::string> result;
    result.reserve(static_cast<std::size_t>(count));
    for (int at = 0; at < count; ++at) {
        result.push_back("vm-" + std::to_string(at));
    }
    return result;
}

/** Most requests that a cold upstream gets in any second if every VM sends all it may. */
std::size_t most_sent(int vms)
{
    const auto fleet = names(vms);
    std::vector<upstream> views(fleet.size());
    sliding_count all{seconds{1}};
    std::size_t most = 0;
    for (local_time now{seconds{50}}; now < local_time{seconds{55}}; now += milliseconds{10}) {
        for (std::size_t at = 0; at < fleet.size(); ++at) {
            views[at].entry.id = "u-1";
            if (cold_limit_allows(views[at], bounds, {fleet[at], fleet, true}, now)) {
                views[at].cold_sends.add(now);
                all.add(now);
            }
        }
        most = std::max(most, all.count(now));
    }
    return most;
}

} // namespace

TEST_CASE("mass return: all VMs together send a cold upstream no more than it bears")
{
    for (const int vms : {1, 2, 12, 13, 30, 104, 300}) {
        CHECK(static_cast<double>(most_sent(vms)) <= most_in_a_second);
        CHECK(most_sent(vms) > 0);
    }
}

TEST_CASE("mass return after a mass restart: a VM that does not know the fleet sends nothing")
{
    upstream item;
    item.entry.id = "u-1";
    CHECK_FALSE(
        cold_limit_allows(item, bounds, {"vm-1", {"vm-1"}, false}, local_time{seconds{50}}));
}

TEST_CASE("a service that states no rate is not held back")
{
    upstream item;
    CHECK(cold_limit_allows(item, {0, 1.5, 5}, {"vm-1", {"vm-1"}, false}, local_time{seconds{50}}));
}

TEST_CASE("an upstream is cold until its time is over")
{
    upstream item;
    item.cold_until = local_time{seconds{10}};
    CHECK(is_cold(item, local_time{seconds{9}}));
    CHECK_FALSE(is_cold(item, local_time{seconds{10}}));
}

/** @file route_split_test.cpp Distribution of the requests of split routes. */
#include "route_split.hpp"

#include <catch2/catch.hpp>

#include <cmath>
#include <map>
#include <string>

using namespace sniperock;

namespace {

route split_route(double first, double second)
{
    route item;
    item.name = "split";
    item.weighted_services = {{"old", first}, {"new", second}};
    return item;
}

} // namespace

TEST_CASE("low load: shares match the weights after few requests")
{
    random_engine random{7};
    route_splitter splitter(random);
    const auto item = split_route(90, 10);
    std::map<std::string, int> counts;
    for (int i = 0; i < 100; ++i) {
        ++counts[splitter.next_service(item)];
    }
    CHECK(std::abs(counts["new"] - 10) <= 1);
}

TEST_CASE("many VMs with few requests each: their first requests do not all go to one part")
{
    std::map<std::string, int> counts;
    for (int vm = 0; vm < 200; ++vm) {
        random_engine random{static_cast<std::uint64_t>(vm)};
        route_splitter splitter(random);
        const auto item = split_route(50, 50);
        ++counts[splitter.next_service(item)];
    }
    CHECK(counts["old"] > 60);
    CHECK(counts["new"] > 60);
}

TEST_CASE("changed weights of a route take effect at once")
{
    random_engine random{7};
    route_splitter splitter(random);
    for (int i = 0; i < 10; ++i) {
        splitter.next_service(split_route(1, 0.001));
    }
    std::map<std::string, int> counts;
    for (int i = 0; i < 100; ++i) {
        ++counts[splitter.next_service(split_route(25, 75))];
    }
    CHECK(std::abs(counts["new"] - 75) <= 1);
}

TEST_CASE("memory use stays bounded while split routes are added and removed")
{
    random_engine random{7};
    route_splitter splitter(random);
    auto item = split_route(1, 1);
    for (int i = 0; i < 20'000; ++i) {
        item.name = "split-" + std::to_string(i);
        splitter.next_service(item);
    }
    CHECK(splitter.known_routes() <= 4096);
}

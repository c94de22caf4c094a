/** @file route_table_test.cpp Route lookup and replacement of configurations. */
#include "route_table.hpp"

#include <catch2/catch.hpp>

using namespace sniperock;

namespace {

route make_route(const std::string& name, const std::string& host, const std::string& prefix)
{
    route item;
    item.name = name;
    item.host = host;
    item.path_prefix = prefix;
    item.weighted_services = {{"jobs", 1}};
    return item;
}

configuration make_config(std::uint64_t version)
{
    configuration config;
    config.version = {version};
    config.routes = {make_route("short", "a.example", "/jobs/"),
                     make_route("long", "a.example", "/jobs/urgent/"),
                     make_route("other", "b.example", "/")};
    return config;
}

std::string found_name(const route_table& table, const std::string& host, const std::string& target)
{
    const auto* item = table.find(host, target);
    return item == nullptr ? "" : item->name;
}

} // namespace

TEST_CASE("the longest prefix of the host's routes is chosen")
{
    const route_table table(make_config(1));
    CHECK(found_name(table, "a.example", "/jobs/1") == "short");
    CHECK(found_name(table, "a.example", "/jobs/urgent/1?x=/other/") == "long");
    CHECK(found_name(table, "A.Example:8080", "/jobs/1") == "short");
    CHECK(found_name(table, "b.example", "/jobs/1") == "other");
}

TEST_CASE("a request that no route matches gets no route")
{
    const route_table table(make_config(1));
    CHECK(found_name(table, "a.example", "/job").empty());
    CHECK(found_name(table, "a.example", "/jobs").empty());
    CHECK(found_name(table, "a.example", "/x?/jobs/").empty());
    CHECK(found_name(table, "c.example", "/jobs/1").empty());
    CHECK(found_name(table, "", "/jobs/1").empty());
}

TEST_CASE("an older configuration never replaces a newer one")
{
    route_holder holder;
    CHECK(holder.table() == nullptr);
    CHECK(holder.apply(make_config(9)));
    CHECK_FALSE(holder.apply(make_config(8)));
    CHECK_FALSE(holder.apply(make_config(9)));
    CHECK(holder.table()->config().version.value == 9);
    // Versions are compared as numbers.
    CHECK(holder.apply(make_config(10)));
}

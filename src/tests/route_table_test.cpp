/** @file route_table_test.cpp Finding routes, and versions that never go back. */
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

std::string found(const route_table& table, const std::string& host, const std::string& target)
{
    const auto* item = table.find(host, target);
    return item == nullptr ? "" : item->name;
}

} // namespace

TEST_CASE("the longest prefix of the host's routes is chosen")
{
    const route_table table(make_config(1));
    CHECK(found(table, "a.example", "/jobs/1") == "short");
    CHECK(found(table, "a.example", "/jobs/urgent/1?x=/other/") == "long");
    CHECK(found(table, "A.Example:8080", "/jobs/1") == "short");
    CHECK(found(table, "b.example", "/jobs/1") == "other");
}

TEST_CASE("a request that no route covers finds none")
{
    const route_table table(make_config(1));
    CHECK(found(table, "a.example", "/job").empty());
    CHECK(found(table, "a.example", "/jobs").empty());
    CHECK(found(table, "a.example", "/x?/jobs/").empty());
    CHECK(found(table, "c.example", "/jobs/1").empty());
    CHECK(found(table, "", "/jobs/1").empty());
}

TEST_CASE("an older configuration never replaces a newer one")
{
    route_holder holder;
    CHECK(holder.table() == nullptr);
    CHECK(holder.apply(make_config(9)));
    CHECK_FALSE(holder.apply(make_config(8)));
    CHECK_FALSE(holder.apply(make_config(9)));
    CHECK(holder.table()->config().version.value == 9);
    // Versions compare as numbers.
    CHECK(holder.apply(make_config(10)));
}

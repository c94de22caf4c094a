/** @file store_sync_test.cpp What the store says comes in force. */
#include "store_sync.hpp"

#include <catch2/catch.hpp>

using namespace sniperock;

namespace {

std::optional<upstream_entry> decode_entry(const stored_object& object)
{
    if (!object.spec.is_string()) {
        return std::nullopt;
    }
    upstream_entry entry;
    entry.id = object.name;
    entry.service = object.spec.get<std::string>();
    return entry;
}

configuration decode_config(const nlohmann::json& spec)
{
    if (!spec.is_number()) {
        throw store_error(store_failure::malformed, "not a number");
    }
    configuration config;
    config.version = {spec.get<std::uint64_t>()};
    return config;
}

struct parts {
    store_schema schema{"u", "c", "main", "e", "v", decode_entry, decode_config};
    route_holder routes;
    upstream_registry registry{seconds{2}};
    int changes = 0;
    store_applier applier{schema, routes, registry, [this] { ++changes; }};
};

} // namespace

TEST_CASE("a configuration that cannot be read leaves the last good one in force")
{
    parts all;
    all.applier.list_configurations({{{"main", {1}, 5}, {"draft", {2}, 9}}, {2}});
    CHECK(all.routes.table()->config().version.value == 5);
    all.applier.change_configurations({{{{"main", {3}, "rubbish"}, false}}, {3}});
    all.applier.change_configurations({{{{"main", {4}, 4}, false}}, {4}});
    all.applier.change_configurations({{{{"main", {5}, 5}, true}}, {5}});
    CHECK(all.routes.table()->config().version.value == 5);
    CHECK(all.changes == 1);
    all.applier.list_upstreams({{}, {6}});
    CHECK(all.changes == 2);
}

TEST_CASE("registry entries that cannot be read are left out, the others hold")
{
    parts all;
    all.applier.list_upstreams({{{"u-1", {1}, "jobs"}, {"u-2", {1}, 7}}, {2}});
    CHECK(all.registry.size() == 1);
    all.applier.change_upstreams({{{{"u-3", {3}, "jobs"}, false}, {{"u-1", {4}, 7}, false}}, {4}});
    CHECK(all.registry.size() == 1);
    CHECK(all.registry.of_service("jobs").front()->entry.id == "u-3");
}

TEST_CASE("evacuations come and go")
{
    parts all;
    all.applier.list_evacuations({{{"north", {1}, {}}}, {1}});
    CHECK(all.registry.evacuated("north"));
    all.applier.change_evacuations(
        {{{{"south", {2}, {}}, false}, {{"north", {3}, {}}, true}}, {3}});
    CHECK(all.registry.evacuated("south"));
    CHECK_FALSE(all.registry.evacuated("north"));
    all.applier.list_evacuations({{}, {4}});
    CHECK_FALSE(all.registry.evacuated("south"));
}

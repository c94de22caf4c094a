/** @file store_sync_test.cpp What the store says comes in force. */
#include "store_sync.hpp"

#include <catch2/catch.hpp>

#include <asio/io_context.hpp>

#include <algorithm>
#include <map>

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

/** A store that answers everything but watches that wait: those end when they are dropped. */
class forgetful_store {
public:
    explicit forgetful_store(asio::io_context& io) : io_(io) {}

    task<store_listing> list(const std::string&, read_mode) { co_return store_listing{{}, {1}}; }
    task<store_changes> watch(const std::string& kind, store_revision, milliseconds wait)
    {
        if (wait > seconds{1}) {
            ++waiting;
            auto& dropped = dropped_.try_emplace(kind, io_.get_executor()).first->second;
            co_await dropped.wait_for(seconds{60});
            --waiting;
            throw store_error(store_failure::unavailable, "dropped");
        }
        store_changes changes{{}, {9}};
        if (kind == "c") {
            changes.events.push_back({{"main", {9}, 3}, false});
        }
        co_return changes;
    }
    task<> create(const std::string&, const std::string&, const nlohmann::json&) { co_return; }
    void drop_connections()
    {
        ++drops;
        std::ranges::for_each(dropped_, [](auto& item) { item.second.notify(); });
    }

    int waiting = 0;
    int drops = 0;

private:
    asio::io_context& io_;
    std::map<std::string, async_signal> dropped_;
};

/** A VM's following of a store that forgot its watches. */
struct forgotten : parts {
    forgotten()
    {
        sync.start();
        run_until([this] { return store.waiting == 3; });
    }

    /** Runs, with looks at the news as a VM has them, until @p holds or a confirmed change is due.
     */
    template <typename Condition>
    void run_until(Condition holds)
    {
        constexpr milliseconds in_force_limit{2000};
        constexpr milliseconds tick{50};
        const auto until = boot_clock::now() + in_force_limit;
        while (!holds() && boot_clock::now() < until) {
            io.restart();
            io.run_for(tick);
            sync.check_missed_changes(boot_clock::now());
        }
    }

    static entry_settings settings_of_test()
    {
        entry_settings settings;
        settings.store_watch = seconds{29};
        settings.store_pulse = seconds{60};
        return settings;
    }

    asio::io_context io{1};
    forgetful_store store{io};
    entry_settings settings = settings_of_test();
    store_revision_tracker news;
    random_engine random{1};
    store_sync<forgetful_store> sync{io, store, schema, settings, applier, registry, news, random};
};

} // namespace

// Guards against one watch that is never answered while the store answers everything else.
TEST_CASE("a configuration that another VM has is in force in time although a watch was forgotten")
{
    forgotten setup;
    REQUIRE(setup.store.waiting == 3);
    setup.news.heard({{{9}, {0}, {0}}}, boot_clock::now());
    setup.run_until([&] { return setup.routes.table() != nullptr; });
    REQUIRE(setup.routes.table());
    CHECK(setup.routes.table()->config().version.value == 3);
    CHECK(setup.news.seen().front().value == 9);
}

TEST_CASE(
    "news of what the store does not know cost no more than one round of calls in five seconds")
{
    forgotten setup;
    setup.news.heard({{{1000}, {0}, {0}}}, boot_clock::now());
    setup.run_until([] { return false; });
    CHECK(setup.store.drops == 1);
}

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

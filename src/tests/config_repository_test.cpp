/** @file config_repository_test.cpp Races, lost replies and outages while changes are accepted. */
#include "config_fake_store.hpp"
#include "config_func.hpp"
#include "config_repository.hpp"

#include <catch2/catch.hpp>

using namespace sniperock;

namespace {

const fleet_view fleet{{"vm-0", "north"}, {"vm-1", "south"}};

service_entry make_service(const std::string& name)
{
    return {name,
            {name + ".example"},
            "",
            1,
            {{"a", "127.0.0.1", 80, "north", 3, 1}, {"b", "127.0.0.1", 81, "south", 3, 1}}};
}

config_snapshot make_snapshot()
{
    config_snapshot snapshot;
    snapshot.plans = {{"gold", {}}};
    snapshot.services = {make_service("archive"), make_service("portal")};
    snapshot.allowances = {{"gold", "portal", 1, 0, 0}};
    return snapshot;
}

/** A store with a first configuration and two vms that change it. */
struct bench {
    bench() { config_bootstrap(store, make_snapshot()); }

    std::string new_id()
    {
        clock.advance(milliseconds{1});
        return make_change_id(clock.wall_now(), ++ids);
    }

    change_request request(change_kind kind, const std::string& target, std::string body = "")
    {
        return {{kind, target, std::move(body), false}, new_id(), "alice", std::nullopt, {}, false};
    }

    change_request put_plan(const std::string& name)
    {
        return request(change_kind::put_plans, "", format_plans({{"gold", {}}, {name, {}}}));
    }

    change_result run(const change_request& wanted)
    {
        return first.accept(wanted, fleet, empty_state());
    }

    std::shared_ptr<const config_state> stored() { return second.load(empty_state()).state; }

    fake_store store;
    manual_clock clock;
    std::uint64_t ids = 0;
    config_repository<fake_store, manual_clock> first{store, clock, 1, [](milliseconds) {}};
    config_repository<fake_store, manual_clock> second{store, clock, 2, [](milliseconds) {}};
};

} // namespace

TEST_CASE("an accepted change is one revision with its record")
{
    bench at;
    const auto result = at.run(at.put_plan("basic"));
    REQUIRE(result.outcome == change_outcome::accepted);
    CHECK(result.differences == std::vector<std::string>{"+ plan basic"});
    const auto state = at.stored();
    CHECK(state->head.revision.value == 2);
    CHECK(state->snapshot->plans.size() == 2);
    REQUIRE(state->head.recent.size() == 1);
    CHECK(state->head.recent.front().who == "alice");
    CHECK(state->head.recent.front().before != state->head.recent.front().after);
}

TEST_CASE("only changed parts are fetched")
{
    bench at;
    const auto known = at.stored();
    at.run(at.request(change_kind::domain_out, "north"));
    at.store.reads = 0;
    const auto state = at.second.load(known).state;
    CHECK(at.store.reads == 2);
    CHECK(state->snapshot->out.domains_out.contains("north"));
    CHECK(state->snapshot->services.size() == 2);
}

TEST_CASE("a dry run takes the same path and writes nothing")
{
    bench at;
    const auto writes = at.store.writes;
    const auto request = at.put_plan("basic");
    const auto result = at.first.test(request, fleet, empty_state());
    CHECK(result.outcome == change_outcome::tested);
    CHECK(result.differences == std::vector<std::string>{"+ plan basic"});
    CHECK(at.store.writes == writes);
    CHECK(at.run(request).outcome == change_outcome::accepted);
}

TEST_CASE("of two operators one wins and the other is shown the winner's change")
{
    bench at;
    auto ours = at.put_plan("ours");
    ours.base = config_revision{1};
    auto theirs = at.put_plan("theirs");
    theirs.base = config_revision{1};
    theirs.who = "bob";
    bool raced = false;
    at.store.before_put = [&](const std::string& key) {
        if (key == config_head_key && !std::exchange(raced, true)) {
            CHECK(at.second.accept(theirs, fleet, empty_state()).outcome ==
                  change_outcome::accepted);
        }
    };
    const auto result = at.run(ours);
    REQUIRE(result.outcome == change_outcome::conflict);
    REQUIRE(result.other.has_value());
    CHECK(result.other->who == "bob");
    CHECK(result.other->id == theirs.id);
    CHECK(result.other->revision.value == 2);
    const auto state = at.stored();
    CHECK(state->head.revision.value == 2);
    CHECK(state->snapshot->plans.back().name == "theirs");
    CHECK(at.store.objects.size() == 1 + state->head.parts.size() + state->head.retired.size());
}

TEST_CASE("a lost race over another element is tried again")
{
    bench at;
    auto plans = at.put_plan("basic");
    plans.base = config_revision{1};
    bool raced = false;
    at.store.before_put = [&](const std::string& key) {
        if (key == config_head_key && !std::exchange(raced, true)) {
            at.second.accept(at.request(change_kind::domain_out, "north"), fleet, empty_state());
        }
    };
    CHECK(at.run(plans).outcome == change_outcome::accepted);
    const auto state = at.stored();
    CHECK(state->head.revision.value == 3);
    CHECK(state->snapshot->plans.size() == 2);
    CHECK(state->snapshot->out.domains_out.contains("north"));
}

TEST_CASE("a write whose reply is lost is accepted once")
{
    bench at;
    at.store.lost_replies = GENERATE(1, 2);
    const auto request = at.put_plan("basic");
    CHECK(at.run(request).outcome == change_outcome::accepted);
    CHECK(at.stored()->head.revision.value == 2);
    CHECK(at.run(request).outcome == change_outcome::repeated);
    CHECK(at.stored()->head.revision.value == 2);
}

TEST_CASE("a write that was lost on its way is written once")
{
    bench at;
    at.store.unsent_writes = 1;
    CHECK(at.run(at.put_plan("basic")).outcome == change_outcome::accepted);
    CHECK(at.stored()->head.revision.value == 2);
}

TEST_CASE("an unsure write is settled by asking again with the same change id")
{
    bench at;
    const bool took_effect = GENERATE(true, false);
    (took_effect ? at.store.lost_replies : at.store.unsent_writes) = 1;
    at.store.down_after_loss = true;
    const auto request = at.put_plan("basic");
    CHECK(at.run(request).outcome == change_outcome::unsure);
    at.store.down = false;
    const auto again = at.second.accept(request, fleet, empty_state());
    CHECK(again.outcome == (took_effect ? change_outcome::repeated : change_outcome::accepted));
    CHECK(at.stored()->head.revision.value == 2);
}

TEST_CASE("a store that is down accepts nothing")
{
    bench at;
    at.store.down = true;
    CHECK(at.run(at.put_plan("basic")).outcome == change_outcome::not_accepted);
    at.store.down = false;
    CHECK(at.stored()->head.revision.value == 1);
}

TEST_CASE("a change id serves one request, and not for ever")
{
    bench at;
    auto request = at.put_plan("basic");
    const auto id = request.id;
    CHECK(at.run(request).outcome == change_outcome::accepted);
    auto other = at.put_plan("other");
    other.id = id;
    CHECK(at.run(other).outcome == change_outcome::bad_change_id);
    for (std::size_t count = 0; count < max_recent_changes; ++count) {
        at.clock.advance(seconds{1});
        const auto kind = count % 2 == 0 ? change_kind::domain_out : change_kind::domain_in;
        REQUIRE(at.run(at.request(kind, "north")).outcome == change_outcome::accepted);
    }
    const auto revision = at.stored()->head.revision;
    const auto late = at.run(request);
    CHECK(late.outcome == change_outcome::bad_change_id);
    CHECK(late.reason.find("too old") != std::string::npos);
    CHECK(at.stored()->head.revision == revision);
    CHECK(at.stored()->head.recent.size() == max_recent_changes);
}

TEST_CASE("parts that were replaced are removed some revisions later")
{
    bench at;
    for (std::uint64_t count = 0; count < 4 * part_retention_revisions; ++count) {
        const auto kind = count % 2 == 0 ? change_kind::domain_out : change_kind::domain_in;
        REQUIRE(at.run(at.request(kind, "north")).outcome == change_outcome::accepted);
    }
    CHECK(at.store.objects.size() <
          1 + at.stored()->head.parts.size() + part_retention_revisions + 2);
}

TEST_CASE("a part with another content than the head says is not applied")
{
    bench at;
    const auto known = at.stored();
    const auto& ref = known->head.parts.at(part_name::plans);
    at.store.objects[part_key(part_name::plans, ref)].value = R"({"schema": 1, "plans": []})";
    CHECK_THROWS_AS(at.second.load(empty_state()), invalid_input);
}

TEST_CASE("a delta leads from any remembered revision to the present one")
{
    bench at;
    const auto old = at.stored()->head;
    at.run(at.put_plan("basic"));
    at.run(at.request(change_kind::put_services, "", format_services({make_service("portal")})));
    const auto present = at.stored()->head;
    const auto joined = apply_delta(old, head_delta(present, old.revision));
    CHECK(parts_digest(joined) == parts_digest(present));
    CHECK(joined.recent == present.recent);
    CHECK_FALSE(joined.parts.contains("service.archive"));
}

/** @file config_pending_test.cpp Unrecorded changes against recorded ones. */
#include "config_change_id.hpp"
#include "config_head_func.hpp"
#include "config_keeper.hpp"
#include "config_pending.hpp"

#include <catch2/catch.hpp>

using namespace sniperock;

namespace {

constexpr std::int64_t start_ms = 1'700'000'000'000;

unrecorded_change make_change(std::int64_t at, change_kind kind, std::uint64_t base,
                              std::vector<std::string> supersedes = {})
{
    return {make_change_id(from_unix_us((start_ms + at) * 1000), 1),
            kind,
            "north",
            "alice@vm-0",
            (start_ms + at) * 1000,
            base,
            false,
            std::move(supersedes)};
}

config_head make_head(std::uint64_t revision, change_record record)
{
    config_head head;
    head.revision.value = revision;
    record.revision.value = revision;
    remember_change(head, std::move(record));
    return head;
}

bool is_out(const unrecorded_changes& changes)
{
    return effective_availability({}, changes).domains_out.contains("north");
}

std::shared_ptr<const config_state> make_recorded(config_head head)
{
    return make_state(std::move(head), *empty_state(), {});
}

} // namespace

TEST_CASE("a take-out holds until its id is recorded")
{
    unrecorded_changes changes{make_change(0, change_kind::domain_out, 5)};
    CHECK(is_out(changes));
    change_record other;
    other.id = "other";
    other.touches = {"domain.north"};
    CHECK(drop_settled(changes, make_head(6, other)).empty());
    CHECK(is_out(changes));
    change_record own;
    own.id = changes.front().id;
    CHECK(drop_settled(changes, make_head(7, own)).size() == 1);
    CHECK(changes.empty());
}

TEST_CASE("a change made with knowledge of a take-out replaces it")
{
    auto out = make_change(0, change_kind::domain_out, 5);
    const auto in = make_change(1, change_kind::domain_in, 5, {out.id});
    CHECK_FALSE(is_out({out, in}));
    unrecorded_changes changes{out};
    change_record record;
    record.id = "in";
    record.supersedes = {out.id};
    CHECK(drop_settled(changes, make_head(6, record)).size() == 1);
}

TEST_CASE("only the change in force is recorded, the ones before it are replaced by it")
{
    const auto out = make_change(0, change_kind::domain_out, 5);
    const auto in = make_change(1, change_kind::domain_in, 5, {out.id});
    const auto again = make_change(2, change_kind::domain_out, 5, {out.id, in.id});
    CHECK(winning_changes({out, in}) == unrecorded_changes{in});
    CHECK(winning_changes({out, in, again}) == unrecorded_changes{again});
}

TEST_CASE("without knowledge of each other the take-out wins, in any order")
{
    const auto out = make_change(0, change_kind::domain_out, 5);
    const auto in = make_change(1, change_kind::domain_in, 5);
    unrecorded_changes left;
    merge_unrecorded(left, {in});
    merge_unrecorded(left, {out});
    unrecorded_changes right;
    merge_unrecorded(right, {out, in});
    CHECK(left == right);
    CHECK(is_out(left));
    CHECK_FALSE(merge_unrecorded(left, right));
}

TEST_CASE("an unrecorded bring-back gives way to a later recorded change")
{
    unrecorded_changes changes{make_change(0, change_kind::domain_in, 5)};
    change_record record;
    record.id = "out";
    record.touches = {"domain.north"};
    CHECK(drop_settled(changes, make_head(6, record)).size() == 1);
}

TEST_CASE("a take-out older than what the head remembers is not put back in force")
{
    unrecorded_changes changes{make_change(0, change_kind::domain_out, 5)};
    auto head = make_head(900, {});
    head.recent_since_us = (start_ms + 1) * 1000;
    CHECK(drop_settled(changes, head).size() == 1);
}

TEST_CASE("an older revision is never applied and does not undo a take-out")
{
    config_keeper keeper;
    std::vector<std::uint64_t> seen;
    keeper.subscribe([&](const auto& snapshot) { seen.push_back(snapshot->revision.value); });
    CHECK(keeper.apply(make_recorded(make_head(7, {}))));
    CHECK(keeper.add_unrecorded({make_change(0, change_kind::domain_out, 7)}));
    CHECK_FALSE(keeper.apply(make_recorded(make_head(6, {}))));
    CHECK(keeper.snapshot()->out.domains_out.contains("north"));
    CHECK(keeper.apply(make_recorded(make_head(8, {}))));
    CHECK(keeper.snapshot()->out.domains_out.contains("north"));
    CHECK(keeper.snapshot()->unrecorded == 1);
    CHECK(seen == std::vector<std::uint64_t>{7, 7, 8});
}

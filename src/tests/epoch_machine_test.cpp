/** @file epoch_machine_test.cpp Single transitions of the ownership protocol. */
#include "epoch_machine.hpp"
#include "ownership_wire.hpp"

#include <catch2/catch.hpp>

using namespace sniperock;

namespace {

constexpr local_time start{std::chrono::hours{1}};

epoch_member member(const std::string& vm, std::uint64_t life = 1)
{
    return {vm, incarnation{life}, "north", vm + ":1"};
}

epoch_object epoch_of(std::uint64_t number, std::vector<epoch_member> members,
                      std::vector<epoch_membership> unfenced = {})
{
    return {{{number}, std::move(members), 1}, number, std::move(unfenced)};
}

/** A machine that has adopted the epoch 1 of a, b and c from the store. */
epoch_machine machine_of(const std::string& vm, std::uint64_t life = 1)
{
    epoch_machine machine({}, member(vm, life), 1, start);
    machine.on_store_watch(epoch_of(1, {member("a"), member("b"), member("c")}), 1, start);
    return machine;
}

template <typename Action>
std::vector<Action> all_of_kind(const epoch_actions& actions)
{
    std::vector<Action> found;
    for (const auto& action : actions) {
        if (const auto* item = std::get_if<Action>(&action)) {
            found.push_back(*item);
        }
    }
    return found;
}

std::optional<heartbeat> heartbeat_to(const epoch_actions& actions, const std::string& vm)
{
    for (const auto& item : all_of_kind<send_heartbeat>(actions)) {
        if (item.vm == vm) {
            return item.message;
        }
    }
    return std::nullopt;
}

/** What @p vm answers to @p question in epoch @p number. */
heartbeat answer(const heartbeat& question, std::uint64_t number, std::uint64_t asker_life = 1)
{
    heartbeat message;
    message.question = 1;
    message.epoch.value = number;
    message.answered_question = question.question;
    message.answered_life.value = asker_life;
    message.vouched = true;
    message.failure_domain = "north";
    return message;
}

} // namespace

TEST_CASE("a vouched lease counts from the moment at which the question was sent")
{
    auto a = machine_of("a");
    const auto question = heartbeat_to(a.tick(start), "b");
    REQUIRE(question);
    a.on_heartbeat({"b", incarnation{1}}, answer(*question, 1), start + milliseconds{700});
    CHECK(a.lease_until() == start + epoch_settings{}.term);
}

TEST_CASE("one vm of three confirms no lease by itself, and no stranger's answer helps")
{
    auto a = machine_of("a");
    const auto question = heartbeat_to(a.tick(start), "b");
    REQUIRE(question);
    a.on_heartbeat({"x", incarnation{1}}, answer(*question, 1), start);
    a.on_heartbeat({"b", incarnation{2}}, answer(*question, 1), start);
    a.on_heartbeat({"c", incarnation{1}}, answer(*question, 1, 9), start);
    a.on_heartbeat({"c", incarnation{1}}, answer(*question, 2), start);
    CHECK(a.lease_until() < start);
}

TEST_CASE("a lease from the store counts from the sending of the read")
{
    epoch_machine a({}, member("a"), 1, start);
    const auto object = epoch_of(1, {member("a"), member("b"), member("c")});
    REQUIRE(all_of_kind<read_epoch>(a.tick(start)).size() == 1);
    a.on_store_read({true, object, 1}, start + milliseconds{600});
    CHECK(a.lease_until() == start + epoch_settings{}.term);
}

TEST_CASE("a watch confirms no lease")
{
    CHECK(machine_of("a").lease_until() < start);
}

TEST_CASE("a member vouches only for its own epoch, and for members of it")
{
    auto b = machine_of("b");
    const auto vouched = [&b](const std::string& vm, std::uint64_t life, std::uint64_t number) {
        heartbeat question;
        question.question = 5;
        question.epoch.value = number;
        b.on_heartbeat({vm, incarnation{life}}, question, start);
        const auto reply = heartbeat_to(b.tick(start + seconds{1}), vm);
        return reply && reply->vouched && reply->answered_question == 5;
    };
    CHECK(vouched("a", 1, 1));
    CHECK_FALSE(vouched("x", 1, 1));
    CHECK_FALSE(vouched("c", 1, 0));
    CHECK_FALSE(vouched("a", 2, 1));
}

TEST_CASE("a reborn vm vouches for no epoch that names its former incarnation")
{
    auto b = machine_of("b", 2);
    CHECK_FALSE(b.is_member());
    heartbeat question;
    question.question = 5;
    question.epoch.value = 1;
    b.on_heartbeat({"a", incarnation{1}}, question, start);
    const auto reply = heartbeat_to(b.tick(start), "a");
    REQUIRE(reply);
    CHECK_FALSE(reply->vouched);
}

TEST_CASE("an older incarnation stops once a newer one is known")
{
    auto a = machine_of("a");
    const auto question = heartbeat_to(a.tick(start), "b");
    a.on_heartbeat({"b", incarnation{1}}, answer(*question, 1), start);
    REQUIRE(a.lease_until() > start);
    a.on_vm_list({{"a", "north", "a:1", "", "", 2, vm_state::live}}, start);
    CHECK(all_of_kind<superseded>(a.tick(start + milliseconds{1})).size() == 1);
    CHECK(a.lease_until() < start);
}

TEST_CASE("an older epoch is never adopted")
{
    auto a = machine_of("a");
    a.on_store_watch(epoch_of(3, {member("a")}), 3, start);
    CHECK(
        all_of_kind<epoch_adopted>(a.on_store_watch(epoch_of(2, {member("b")}), 2, start)).empty());
    CHECK(a.epoch().current.number.value == 3);
}

TEST_CASE("an earlier epoch is fenced a term and its margin after a majority moved on")
{
    const epoch_settings times;
    auto a = machine_of("a");
    const auto earlier = a.epoch().current;
    a.on_store_watch(epoch_of(2, {member("a"), member("b")}, {earlier}), 2, start);
    const auto fenced = [&a](local_time now) {
        a.tick(now);
        return a.is_fenced({1});
    };
    CHECK_FALSE(fenced(start + times.term * 3));
    heartbeat moved;
    moved.epoch.value = 2;
    const auto seen = start + times.term * 3;
    a.on_heartbeat({"b", incarnation{1}}, moved, seen);
    CHECK_FALSE(fenced(seen + fence_wait(times)));
    CHECK(fenced(seen + fence_wait(times) + nanoseconds{1}));
}

TEST_CASE("a lost reply is settled by reading back, whatever became of the write")
{
    const bool took_effect = GENERATE(true, false);
    epoch_machine a({}, member("a"), 1, start);
    auto now = start;
    a.tick(now);
    a.on_store_read({true, {}, 0}, now);
    std::vector<write_epoch> writes;
    for (; writes.empty() && now < start + seconds{5}; now += milliseconds{50}) {
        const auto actions = a.tick(now);
        writes = all_of_kind<write_epoch>(actions);
        if (!all_of_kind<read_epoch>(actions).empty()) {
            a.on_store_read({true, {}, 0}, now);
        }
    }
    REQUIRE(writes.size() == 1);
    const auto after = a.on_store_write({put_status::unsure, 0}, now);
    REQUIRE(all_of_kind<read_epoch>(after).size() == 1);
    CHECK(a.epoch().current.number.value == 0);
    if (took_effect) {
        a.on_store_read({true, writes.front().object, 1}, now);
        CHECK(a.epoch().current.number.value == 1);
        CHECK(a.counts().proposals_won == 1);
    }
    else {
        a.on_store_read({true, epoch_of(1, {member("b")}), 1}, now);
        CHECK(a.epoch().current.members.front().vm == "b");
        CHECK(a.counts().proposals_won == 0);
    }
}

TEST_CASE("a vm that a minority cannot hear is not dropped, one that is silent to a majority is")
{
    const epoch_settings times;
    member_table table(times, member("a"), start);
    const epoch_membership epoch{{1}, {member("a"), member("b"), member("c")}, 1};
    const auto hear_b = [&](std::vector<std::uint32_t> silent, local_time now) {
        heartbeat message;
        message.epoch.value = 1;
        message.silent = std::move(silent);
        table.hear({"b", incarnation{1}}, message, now);
        table.notice_time(now);
    };
    auto now = start;
    for (; now < start + times.suspicion; now += milliseconds{100}) {
        hear_b({}, now);
    }
    CHECK(table.silent_members(epoch, now) == std::vector<std::uint32_t>{2});
    CHECK(table.wanted(epoch, false, now).members.size() == 3);
    hear_b({2}, now);
    CHECK(table.wanted(epoch, false, now).members.size() == 2);
}

TEST_CASE("after a pause of its own a vm suspects nobody at once")
{
    const epoch_settings times;
    member_table table(times, member("a"), start);
    const epoch_membership epoch{{1}, {member("a"), member("b"), member("c")}, 1};
    table.notice_time(start + seconds{60});
    CHECK(table.silent_members(epoch, start + seconds{60}).empty());
}

TEST_CASE("vms that start together are collected into few epochs")
{
    constexpr std::uint64_t joining = 12;
    epoch_machine a({}, member("a"), 1, start);
    a.on_store_watch(epoch_of(1, {member("a")}), 1, start);
    std::size_t proposals = 0;
    std::optional<epoch_object> latest;
    for (auto now = start; now < start + seconds{3}; now += milliseconds{25}) {
        for (std::uint64_t at = 0; at < joining; ++at) {
            heartbeat message;
            message.failure_domain = "north";
            const auto came = start + at * milliseconds{30};
            if (now >= came) {
                a.on_heartbeat({"j" + std::to_string(at), incarnation{1}}, message, now);
            }
        }
        for (const auto& write : all_of_kind<write_epoch>(a.tick(now))) {
            ++proposals;
            latest = write.object;
            a.on_store_write({put_status::accepted, proposals + 1}, now);
        }
    }
    CHECK(proposals <= 2);
    REQUIRE(latest);
    CHECK(latest->current.members.size() == joining + 1);
}

TEST_CASE("when every member leaves, no epoch without members is written")
{
    auto a = machine_of("a");
    const auto earlier = a.epoch().current;
    a.on_store_watch(epoch_of(2, {member("a"), member("b")}, {earlier}), 2, start);
    heartbeat leaving;
    leaving.epoch.value = 2;
    leaving.leaving = true;
    a.on_heartbeat({"b", incarnation{1}}, leaving, start);
    a.leave();
    for (auto now = start; now < start + seconds{30}; now += milliseconds{25}) {
        for (const auto& write : all_of_kind<write_epoch>(a.tick(now))) {
            CHECK(write.object.current.members.size() == 2);
            a.on_store_write({put_status::accepted, 3}, now);
        }
        if (a.counts().store_reads > 0) {
            a.on_store_read({false, {}, 0}, now);
        }
    }
    CHECK(a.leaves_nobody(start + seconds{30}));
}

TEST_CASE("the epoch object keeps its content through its stored form")
{
    const auto object = epoch_of(7, {member("a"), member("b", 5)}, {{{6}, {member("c")}, 2}});
    const auto back = parse_epoch(format_epoch(object));
    REQUIRE(back);
    CHECK(back->current.number.value == 7);
    CHECK(back->change_id == object.change_id);
    CHECK(same_membership(back->current, object.current));
    REQUIRE(back->unfenced.size() == 1);
    CHECK(same_membership(back->unfenced.front(), object.unfenced.front()));
    CHECK_FALSE(parse_epoch("{}"));
    CHECK_FALSE(parse_epoch("not json"));
}

TEST_CASE("times that do not fit together are found")
{
    epoch_settings times;
    CHECK(check_epoch_settings(times).empty());
    times.suspicion = 2 * times.heartbeat;
    times.term = 2 * times.heartbeat;
    CHECK(check_epoch_settings(times).size() == 2);
}

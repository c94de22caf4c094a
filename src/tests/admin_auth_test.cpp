/** @file admin_auth_test.cpp Keys, roles and wrong keys. */
#include "admin_auth.hpp"
#include "hash_func.hpp"

#include <catch2/catch.hpp>

using namespace sniperock;

TEST_CASE("each of an operator's keys is valid, the first key until operators are listed")
{
    const auto first = sha256_hex("first");
    const std::vector<admin_entry> admins{
        {"alice", admin_role::operate, {sha256_hex("old"), sha256_hex("new")}}};
    CHECK(authenticate("old", admins, first)->name == "alice");
    CHECK(authenticate("new", admins, first)->role == admin_role::operate);
    CHECK_FALSE(authenticate("first", admins, first).has_value());
    CHECK_FALSE(authenticate("", admins, "").has_value());
    CHECK(authenticate("first", {}, first)->bootstrap_key);
    CHECK_FALSE(authenticate("other", {}, first).has_value());
    CHECK_FALSE(authenticate("first", {}, "").has_value());
}

TEST_CASE("wrong keys are held to a rate for each address")
{
    manual_clock clock;
    auth_limiter limiter({2, 1, 2});
    limiter.note_failure("a", clock.now());
    CHECK(limiter.may_try("a", clock.now()));
    limiter.note_failure("a", clock.now());
    CHECK_FALSE(limiter.may_try("a", clock.now()));
    CHECK(limiter.may_try("b", clock.now()));
    clock.advance(seconds{1});
    CHECK(limiter.may_try("a", clock.now()));
}

TEST_CASE("many addresses are held to one rate together and use bounded memory")
{
    manual_clock clock;
    auth_limiter limiter({1, 1, 2});
    limiter.note_failure("a", clock.now());
    limiter.note_failure("b", clock.now());
    limiter.note_failure("c", clock.now());
    CHECK_FALSE(limiter.may_try("d", clock.now()));
}

/** @file store_client_test.cpp The store client against the platform stand-in. */
#include "standin_platform.hpp"
#include "store_client.hpp"

#include <catch2/catch.hpp>

using namespace sniperock;

TEST_CASE("a conditional write meets conflicts, outages and lost replies")
{
    standin_platform platform(milliseconds{0});
    store_client store("127.0.0.1", platform.start("127.0.0.1", 0), seconds{5});
    CHECK_FALSE(store.get("k").has_value());
    CHECK(store.put("k", "one", 0).status == put_status::accepted);
    CHECK(store.put("k", "two", 0).status == put_status::conflict);
    CHECK(store.get("k")->value == "one");

    platform.set_faults({false, milliseconds{0}, 1});
    CHECK(store.put("k", "three", 1).status == put_status::unsure);
    CHECK(store.get("k")->value == "three");

    platform.set_faults({true, milliseconds{0}, 0});
    CHECK(store.put("k", "four", 2).status == put_status::unavailable);
    CHECK_THROWS_AS(store.get("k"), store_unavailable);
}

TEST_CASE("a watch returns a newer version at once and nothing after its wait")
{
    standin_platform platform(milliseconds{0});
    store_client store("127.0.0.1", platform.start("127.0.0.1", 0), seconds{5});
    store.put("k", "one", 0);
    CHECK(store.watch("k", 0, seconds{5})->version == 1);
    CHECK_FALSE(store.watch("k", 1, milliseconds{1}).has_value());
}

/** @file locate_test.cpp Which entry vms callers are sent to. */
#include "locate.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace sniperock;

TEST_CASE("owners come first, near ones first among them, leaving ones never")
{
    locate_service locator(milliseconds{1000}, 1);
    CHECK_FALSE(locator.answer("portal", "north").has_value());
    locator.set_entries({{"far-other", "south", "1:1", false, {}},
                         {"near-other", "north", "2:1", false, {}},
                         {"far-owner", "south", "3:1", false, {"portal"}},
                         {"near-owner", "north", "4:1", false, {"portal"}},
                         {"leaving", "north", "5:1", true, {"portal"}}});
    for (int ask = 0; ask < 100; ++ask) {
        const auto answer = nlohmann::json::parse(*locator.answer("portal", "north"));
        REQUIRE(answer["addresses"].size() == 4);
        CHECK(answer["addresses"][0]["vm"] == "near-owner");
        CHECK(answer["addresses"][1]["vm"] == "far-owner");
        CHECK(answer["addresses"][2]["vm"] == "near-other");
        CHECK(answer["keep_ms"] >= 750);
        CHECK(answer["keep_ms"] <= 1250);
    }
}

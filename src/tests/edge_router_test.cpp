/** @file edge_router_test.cpp Plans by key, services by host and path. */
#include "edge_router.hpp"
#include "hash_func.hpp"

#include <catch2/catch.hpp>

using namespace sniperock;

TEST_CASE("keys lead to plans, hosts and paths to services")
{
    auto snapshot = std::make_shared<config_snapshot>();
    snapshot->plans = {{"gold", {sha256_hex("secret")}}};
    snapshot->services = {{"portal", {"Portal.example"}, "", 1, {}},
                          {"scans", {}, "/scans", 1, {}}};
    const edge_router router(snapshot);
    REQUIRE(router.find_plan("secret") != nullptr);
    CHECK(router.find_plan("secret")->name == "gold");
    CHECK(router.find_plan("other") == nullptr);
    CHECK(router.find_service("portal.EXAMPLE:80", "/")->name == "portal");
    CHECK(router.find_service("x", "/scans/1")->name == "scans");
    CHECK(router.find_service("x", "/scansions") == nullptr);
}

TEST_CASE("a load header is parsed or refused whole")
{
    const auto report = parse_load("phase=cold;in_flight=2;slots=3");
    REQUIRE(report);
    CHECK(report->phase == server_phase::cold);
    CHECK(report->in_flight == 2);
    CHECK_FALSE(parse_load("phase=lukewarm").has_value());
    CHECK_FALSE(parse_load("gibberish").has_value());
}

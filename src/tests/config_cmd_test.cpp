/** @file config_cmd_test.cpp What commands refuse, and what they say. */
#include "config_cmd.hpp"
#include "config_func.hpp"
#include "store_type.hpp"

#include <catch2/catch.hpp>

using namespace sniperock;

namespace {

const fleet_view fleet{{"vm-0", "north"}, {"vm-1", "south"}};

config_snapshot make_snapshot()
{
    config_snapshot snapshot;
    snapshot.plans = {{"gold", {}}};
    snapshot.services = {
        {"portal", {}, "/", 1, {{"a", "127.0.0.1", 80, "north", 3, 1}}},
        {"wide",
         {},
         "/w",
         1,
         {{"a", "127.0.0.1", 81, "north", 3, 1}, {"b", "127.0.0.1", 82, "south", 3, 1}}}};
    snapshot.allowances = {{"gold", "portal", 1, 0, 0}};
    return snapshot;
}

finding_list findings_of(const config_change& change)
{
    try {
        test_change(make_snapshot(), change, fleet);
    }
    catch (const invalid_input& fault) {
        return fault.findings();
    }
    return {};
}

} // namespace

TEST_CASE("a take-out that leaves a service without capacity needs force")
{
    config_change change{change_kind::domain_out, "north", "", false};
    const auto findings = findings_of(change);
    REQUIRE(findings.size() == 1);
    CHECK(findings.front().place == "/north");
    CHECK(findings.front().message.find("service portal") != std::string::npos);
    change.force = true;
    const auto tested = test_change(make_snapshot(), change, fleet);
    CHECK(tested.warnings == std::vector<std::string>{"service portal would have no server left"});
    CHECK(tested.after.out.domains_out.contains("north"));
    CHECK(findings_of({change_kind::domain_out, "south", "", false}).empty());
}

TEST_CASE("the last entry vm is not taken out without force")
{
    auto before = make_snapshot();
    before.out.vms_out.insert("vm-0");
    CHECK_THROWS_AS(test_change(before, {change_kind::vm_out, "vm-1", "", false}, fleet),
                    invalid_input);
}

TEST_CASE("unknown failure domains and vms are refused, unless they are out")
{
    CHECK(findings_of({change_kind::domain_out, "nowhere", "", true}).size() == 1);
    CHECK(findings_of({change_kind::vm_out, "nobody", "", true}).size() == 1);
    auto before = make_snapshot();
    before.out.vms_out.insert("gone");
    const auto tested = test_change(before, {change_kind::vm_in, "gone", "", false}, fleet);
    CHECK(tested.differences == std::vector<std::string>{"- vm gone out"});
}

TEST_CASE("a list is checked against the others")
{
    const auto findings = findings_of({change_kind::put_plans, "", format_plans({}), false});
    REQUIRE(findings.size() == 1);
    CHECK(findings.front().place == "/allowances/0/plan");
}

TEST_CASE("a list beyond the store's limit is refused plainly")
{
    const auto findings =
        findings_of({change_kind::put_plans, "", std::string(max_object_bytes + 1, ' '), false});
    REQUIRE(findings.size() == 1);
    CHECK(findings.front().message.find("allowed are 1048576") != std::string::npos);
}

TEST_CASE("the last administer key cannot be removed")
{
    CHECK(findings_of({change_kind::put_admins, "", format_admins({}), false}).size() == 1);
}

TEST_CASE("differences name what is added, removed and changed")
{
    auto services = make_snapshot().services;
    services.front().servers.front().slots = 4;
    services.back().servers.pop_back();
    const auto tested = test_change(
        make_snapshot(), {change_kind::put_services, "", format_services(services), false}, fleet);
    CHECK(tested.differences == std::vector<std::string>{"~ server portal/a", "- server wide/b"});
    CHECK(tested.touches == std::vector<std::string>{"service.portal", "service.wide"});
}

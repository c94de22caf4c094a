/** @file config_json_test.cpp Parsing of the operators' lists. */
#include "config_func.hpp"

#include <catch2/catch.hpp>

using namespace sniperock;

namespace {

finding_list findings_of(const std::string& text)
{
    try {
        parse_services(text, "services");
    }
    catch (const invalid_input& fault) {
        return fault.findings();
    }
    return {};
}

} // namespace

TEST_CASE("a list comes back as it was written")
{
    const std::vector<service_entry> services{
        {"portal", {"portal.example"}, "/portal", 5, {{"a", "127.0.0.1", 80, "north", 3, 1}}}};
    const auto text = format_services(services);
    CHECK(format_services(parse_services(text, "services")) == text);
}

TEST_CASE("every finding of a list is reported with its place")
{
    const auto findings =
        findings_of(R"({"schema": 1, "services": [{"name": "a b", "colour": 1, "servers": [
            {"name": "x", "address": "127.0.0.1", "port": 0, "failure_domain": "n", "slots": 1}
        ]}]})");
    REQUIRE(findings.size() == 3);
    CHECK(findings[0].place == "/services/0/name");
    CHECK(findings[1].place == "/services/0/servers/0/port");
    CHECK(findings[2].place == "/services/0/colour");
}

TEST_CASE("a syntax error names its line")
{
    const auto findings = findings_of("{\n\"schema\": 1,\n!");
    REQUIRE(findings.size() == 1);
    CHECK(findings[0].line == 3);
}

TEST_CASE("an allowance must name a known plan and service")
{
    config_snapshot snapshot;
    snapshot.allowances = {{"gold", "portal", 1, 0, 0}};
    CHECK(check_references(snapshot).size() == 2);
}

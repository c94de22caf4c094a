/** @file settings_test.cpp Parsing of INI settings and the locations of findings. */
#include "settings_func.hpp"

#include <catch2/catch.hpp>

using namespace sniperock;

namespace {

finding_list findings_of(const std::string& text)
{
    try {
        parse_settings(text, "test.ini");
    }
    catch (const invalid_input& fault) {
        return fault.findings();
    }
    return {};
}

} // namespace

TEST_CASE("defaults come from the table")
{
    const auto settings = parse_settings("[vm]\nname = a\nfailure_domain = north\n", "test.ini");
    CHECK(settings.vm_name == "a");
    CHECK(settings.callers_listen == "127.0.0.1:7000");
    CHECK(settings.store_timeout == milliseconds{1500});
}

TEST_CASE("all findings are reported together, each with its line")
{
    const auto findings =
        findings_of("[vm]\nname = a\nnonsense = 1\n[pages]\nmetrics_port = 70000\n"
                    "[store]\ntimeout = two\n[pages]\nmetrics_port = 1\n");
    REQUIRE(findings.size() == 5);
    CHECK(findings[0].line == 3);
    CHECK(findings[0].location == "vm.nonsense");
    CHECK(findings[1].line == 5);
    CHECK(findings[1].message.find("0 to 65535") != std::string::npos);
    CHECK(findings[2].line == 7);
    CHECK(findings[3].line == 9);
    CHECK(findings[3].message == "is given twice");
    CHECK(findings[4].location == "vm.failure_domain");
}

TEST_CASE("formatted settings parse back to the same values")
{
    auto settings = parse_settings("[vm]\nname = a\nfailure_domain = north\n", "test.ini");
    settings.default_deadline = milliseconds{1234};
    settings.cold_overshoot = 1.25;
    const auto again = parse_settings(format_settings(settings), "again.ini");
    CHECK(again.default_deadline == milliseconds{1234});
    CHECK(again.cold_overshoot == 1.25);
    CHECK(format_settings(again) == format_settings(settings));
}

TEST_CASE("an address needs an IP and a port")
{
    const std::string head = "[vm]\nname = a\nfailure_domain = north\n[store]\naddress = ";
    CHECK(findings_of(head + "10.0.0.1:7\n").empty());
    CHECK(findings_of(head + "10.0.0.1\n").size() == 1);
    CHECK(findings_of(head + "host:7\n").size() == 1);
    CHECK(findings_of(head + "10.0.0.1:70000\n").size() == 1);
}

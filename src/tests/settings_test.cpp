/** @file settings_test.cpp Parsing of INI settings and the places of findings. */
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
    CHECK(settings.caller_port == 7000);
    CHECK(settings.store_timeout == milliseconds{1000});
}

TEST_CASE("all findings come together, each with its line")
{
    const auto findings = findings_of("[vm]\nname = a\nnonsense = 1\n[callers]\nport = 70000\n"
                                      "threads = two\nport = 1\n");
    REQUIRE(findings.size() == 5);
    CHECK(findings[0].line == 3);
    CHECK(findings[0].place == "vm.nonsense");
    CHECK(findings[1].line == 5);
    CHECK(findings[1].message.find("0 to 65535") != std::string::npos);
    CHECK(findings[2].line == 6);
    CHECK(findings[3].line == 7);
    CHECK(findings[3].message == "is given twice");
    CHECK(findings[4].place == "vm.failure_domain");
}

TEST_CASE("formatted settings parse back to the same values")
{
    auto settings = parse_settings("[vm]\nname = a\nfailure_domain = north\n", "test.ini");
    settings.idle_timeout = milliseconds{1234};
    const auto again = parse_settings(format_settings(settings), "again.ini");
    CHECK(again.idle_timeout == milliseconds{1234});
    CHECK(format_settings(again) == format_settings(settings));
}

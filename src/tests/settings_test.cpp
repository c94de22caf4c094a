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

// Guards against a process that does not start as a bound of the platform has a fraction.
TEST_CASE("numbers are whole, decimal or have an exponent, and times may name their unit")
{
    const auto parse = [](const std::string& lines) {
        return parse_settings("[vm]\nname = a\nfailure_domain = north\n" + lines, "test.ini");
    };
    CHECK(parse("[retries]\nslack = 21.875\n").retry_slack == 21.875);
    CHECK(parse("[retries]\nslack = 5.6e1\n").retry_slack == 56);
    CHECK(parse("[choice]\nprobe_rate = 0.5e2\n").probe_rate == 50);
    CHECK(parse("[choice]\nprobes = 5.0\n").probe_count == 5);
    CHECK(parse("[retries]\nwindow = 2.5 s\n").retry_window == milliseconds{2500});
    CHECK(parse("[retries]\nwindow = 2.3 s\n").retry_window == milliseconds{2300});
    CHECK(parse("[retries]\nwindow = 1e1 s\n").retry_window == milliseconds{10'000});
    CHECK(parse("[retries]\nwindow = 2500.75\n").retry_window == milliseconds{2500});
    CHECK(parse("[retries]\nwindow = 2500.0\n").retry_window == milliseconds{2500});
    // Three zeros that a template has appended to 2.5, to 10 and to 10.0 seconds.
    CHECK(parse("[retries]\nwindow = 2.5000\n").retry_window == milliseconds{2500});
    CHECK(parse("[retries]\nwindow = 10000\n").retry_window == milliseconds{10'000});
    CHECK(parse("[retries]\nwindow = 10.0000\n").retry_window == milliseconds{10'000});
    CHECK(parse("[retries]\nwindow = 250ms\n").retry_window == milliseconds{250});
    const std::string head = "[vm]\nname = a\nfailure_domain = north\n";
    for (const auto* line :
         {"[choice]\nprobes = 5.5\n", "[retries]\nslack = 1e999\n", "[retries]\nslack = nan\n",
          "[retries]\nslack = 5 s\n", "[retries]\nwindow = 5 m\n", "[retries]\nwindow = -1 s\n"}) {
        CAPTURE(line);
        CHECK(findings_of(head + line).size() == 1);
    }
}

TEST_CASE("a number that is left empty has its default, an address is needed")
{
    const std::string head = "[vm]\nname = a\nfailure_domain = north\n";
    const auto settings =
        parse_settings(head + "[retries]\nslack =\nwindow =  s\nratio =\n", "test.ini");
    CHECK(settings.retry_slack == 20);
    CHECK(settings.retry_window == milliseconds{10'000});
    CHECK(settings.retry_ratio == 0.2);
    CHECK(findings_of(head + "[store]\naddress =\n").size() == 1);
}

TEST_CASE("the columns of the list of settings are separate")
{
    const auto text = list_settings();
    CHECK(text.find("127.0.0.1:7000  ") != std::string::npos);
    CHECK(text.find("1.0:70001") == std::string::npos);
}

TEST_CASE("an address needs an IP and a port")
{
    const std::string head = "[vm]\nname = a\nfailure_domain = north\n[store]\naddress = ";
    CHECK(findings_of(head + "10.0.0.1:7\n").empty());
    CHECK(findings_of(head + "10.0.0.1\n").size() == 1);
    CHECK(findings_of(head + "host:7\n").size() == 1);
    CHECK(findings_of(head + "10.0.0.1:70000\n").size() == 1);
}

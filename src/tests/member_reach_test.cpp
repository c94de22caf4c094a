/** @file member_reach_test.cpp What VMs know of the upstreams that others reach. */
#include "member_reach.hpp"

#include <catch2/catch.hpp>

using namespace sniperock;

namespace {

constexpr local_time start{std::chrono::hours{1}};

reach_report report_of(const std::string& address, bool isolated,
                       std::vector<std::uint64_t> unreachable = {},
                       milliseconds age = milliseconds{0})
{
    return {address, isolated, std::move(unreachable), age};
}

} // namespace

TEST_CASE("a VM that reports that it reaches no upstream reaches no service")
{
    member_reach reach("10.0.0.1");
    CHECK_FALSE(reach.isolated("10.0.0.2", start));
    reach.apply(report_of("10.0.0.2", true), start);
    CHECK(reach.isolated("10.0.0.2", start));
    CHECK(reach.unreachable("10.0.0.2", "jobs", start));
    reach.apply(report_of("10.0.0.3", false, {service_hash("jobs")}), start);
    CHECK(reach.unreachable("10.0.0.3", "jobs", start));
    CHECK_FALSE(reach.unreachable("10.0.0.3", "files", start));
    CHECK_FALSE(reach.isolated("10.0.0.3", start));
}

TEST_CASE("a VM's own report replaces what others have passed on, and older ones do not")
{
    member_reach reach("10.0.0.1");
    reach.apply(report_of("10.0.0.2", true, {}, milliseconds{100}), start);
    reach.apply(report_of("10.0.0.2", false), start);
    CHECK_FALSE(reach.isolated("10.0.0.2", start));
    reach.apply(report_of("10.0.0.2", true, {}, milliseconds{500}), start + milliseconds{300});
    CHECK_FALSE(reach.isolated("10.0.0.2", start + milliseconds{300}));
    reach.apply(report_of("10.0.0.2", true, {}, milliseconds{100}), start + seconds{1});
    CHECK(reach.isolated("10.0.0.2", start + seconds{1}));
}

TEST_CASE("a report that is not repeated ends, and none is believed about this VM")
{
    member_reach reach("10.0.0.1");
    reach.apply(report_of("10.0.0.2", true), start);
    CHECK(reach.isolated("10.0.0.2", start + seconds{5}));
    CHECK_FALSE(reach.isolated("10.0.0.2", start + seconds{6}));
    reach.apply(report_of("10.0.0.1", true), start);
    CHECK_FALSE(reach.isolated("10.0.0.1", start));
    reach.apply(report_of("10.0.0.4", true, {}, seconds{7}), start);
    CHECK_FALSE(reach.isolated("10.0.0.4", start));
    reach.apply(report_of("10.0.0.5", true, std::vector<std::uint64_t>(1000)), start);
    CHECK_FALSE(reach.isolated("10.0.0.5", start));
}

TEST_CASE("VMs that reach everything cost nothing")
{
    member_reach reach("10.0.0.1");
    reach.apply(report_of("10.0.0.2", false), start);
    reach.apply(report_of("10.0.0.3", true), start);
    reach.apply(report_of("10.0.0.3", false), start + seconds{1});
    CHECK(reach.reports(10, start + seconds{1}).empty());
}

TEST_CASE("reports are passed on with their age, and not as first-hand ones")
{
    member_reach reach("10.0.0.1");
    reach.apply(report_of("10.0.0.2", true), start);
    reach.apply(report_of("10.0.0.3", true), start);
    const auto passed_on = reach.reports(10, start + seconds{2});
    REQUIRE(passed_on.size() == 2);
    CHECK(passed_on.front().age == seconds{2});
    CHECK(reach.reports(10, start).front().age > milliseconds{0});
    CHECK(reach.reports(1, start).size() == 1);
}

/** @file fleet_share_test.cpp Shares of limits that bind the whole fleet. */
#include "fleet_share.hpp"

#include <catch2/catch.hpp>

using namespace sniperock;

namespace {

std::vector<std::string> names(int from, int to)
{
    std::vector<std::string> result;
    for (int at = from; at < to; ++at) {
        result.push_back("vm-" + std::to_string(at));
    }
    return result;
}

/** What all VMs of @p fleet use of @p total together. */
std::size_t used(std::size_t total, const std::string& subject,
                 const std::vector<std::string>& fleet)
{
    std::size_t sum = 0;
    for (const auto& name : fleet) {
        sum += whole_share(total, subject, {name, fleet, true});
    }
    return sum;
}

} // namespace

TEST_CASE("the shares of a fleet of any size stay within the limit")
{
    for (const int size : {1, 2, 5, 13, 16, 17, 104, 760}) {
        for (int subject = 0; subject < 20; ++subject) {
            CHECK(used(16, "u-" + std::to_string(subject), names(0, size)) <= 16);
        }
    }
}

TEST_CASE("a limit smaller than the fleet is used by some VMs, different ones for each subject")
{
    const auto fleet = names(0, 104);
    CHECK(used(14, "u-1", fleet) == 7);
    std::size_t same = 0;
    for (const auto& name : fleet) {
        same += whole_share(14, "u-1", {name, fleet, true}) *
                whole_share(14, "u-2", {name, fleet, true});
    }
    CHECK(same < 7);
}

TEST_CASE("two halves of a cut fleet stay within the limit together")
{
    const auto left = names(0, 52);
    const auto right = names(52, 104);
    CHECK(used(14, "u-1", left) + used(14, "u-1", right) <= 14);
}

TEST_CASE("a VM that does not know the fleet yet uses nothing")
{
    CHECK(whole_share(16, "u-1", {"vm-1", {"vm-1"}, false}) == 0);
    CHECK(whole_share(16, "u-1", {"vm-1", {}, true}) == 0);
}

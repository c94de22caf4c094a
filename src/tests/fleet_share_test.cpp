/** @file fleet_share_test.cpp Shares of the VMs in limits on the whole fleet. */
#include "fleet_share.hpp"

#include <catch2/catch.hpp>

using namespace sniperock;

namespace {

std::vector<std::string> vm_names(int from, int to)
{
    std::vector<std::string> result;
    for (int i = from; i < to; ++i) {
        result.push_back("vm-" + std::to_string(i));
    }
    return result;
}

/** Sum of the shares of @p total over all VMs of @p fleet. */
std::size_t total_share(std::size_t total, const std::string& subject,
                        const std::vector<std::string>& fleet)
{
    std::size_t sum = 0;
    for (const auto& name : fleet) {
        sum += vm_share(total, subject, {name, fleet, true});
    }
    return sum;
}

} // namespace

TEST_CASE("the shares of a fleet of any size stay within the limit")
{
    for (const int size : {1, 2, 5, 13, 16, 17, 104, 760}) {
        for (int subject = 0; subject < 20; ++subject) {
            CHECK(total_share(16, "u-" + std::to_string(subject), vm_names(0, size)) <= 16);
        }
    }
}

TEST_CASE("a limit smaller than the fleet is assigned to some VMs, different ones for each subject")
{
    const auto fleet = vm_names(0, 104);
    CHECK(total_share(14, "u-1", fleet) == 7);
    std::size_t common = 0;
    for (const auto& name : fleet) {
        common +=
            vm_share(14, "u-1", {name, fleet, true}) * vm_share(14, "u-2", {name, fleet, true});
    }
    CHECK(common < 7);
}

TEST_CASE("network partition: both halves of the fleet together stay within the limit")
{
    const auto first_half = vm_names(0, 52);
    const auto second_half = vm_names(52, 104);
    CHECK(total_share(14, "u-1", first_half) + total_share(14, "u-1", second_half) <= 14);
}

TEST_CASE("the share of a VM is zero until it knows the fleet")
{
    CHECK(vm_share(16, "u-1", {"vm-1", {"vm-1"}, false}) == 0);
    CHECK(vm_share(16, "u-1", {"vm-1", {}, true}) == 0);
}

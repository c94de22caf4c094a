/** @file store_role_test.cpp Tests of how a VM follows the store. */
#include "store_role.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace sniperock;

namespace {

constexpr seconds settled{60};

std::vector<member_entry> make_fleet(int vms, int domains)
{
    std::vector<member_entry> fleet;
    fleet.reserve(static_cast<std::size_t>(vms));
    for (int i = 0; i < vms; ++i) {
        fleet.push_back({"10.0.0." + std::to_string(i),
                         70,
                         "vm-" + std::to_string(i),
                         "domain-" + std::to_string(i % domains),
                         {1},
                         1,
                         member_state::ready});
    }
    return fleet;
}

store_role role_of(const member_entry& self, const std::vector<member_entry>& alive,
                   nanoseconds running_for)
{
    return select_store_role({self, alive, running_for});
}

/** Number of announcers in each failure domain. */
std::map<std::string, int> announcers(const std::vector<member_entry>& fleet)
{
    std::map<std::string, int> count;
    for (const auto& item : fleet) {
        count[item.failure_domain] +=
            role_of(item, fleet, settled) == store_role::announcer ? 1 : 0;
    }
    return count;
}

} // namespace

TEST_CASE("each failure domain has two announcers, whatever the size of the fleet")
{
    for (const int vms : {15, 100, 500}) {
        const auto count = announcers(make_fleet(vms, 5));
        CHECK(std::ranges::all_of(count, [](const auto& item) { return item.second == 2; }));
    }
    CHECK(announcers(make_fleet(2, 1)).at("domain-0") == 2);
}

TEST_CASE("lost announcers are replaced by other VMs of their failure domain")
{
    auto fleet = make_fleet(30, 3);
    std::erase_if(fleet, [whole = fleet](const member_entry& item) {
        return role_of(item, whole, settled) == store_role::announcer;
    });
    CHECK(fleet.size() == 24);
    const auto count = announcers(fleet);
    CHECK(std::ranges::all_of(count, [](const auto& item) { return item.second == 2; }));
}

TEST_CASE("VMs that start or leave are not counted on to announce")
{
    auto fleet = make_fleet(10, 1);
    for (auto& item : fleet) {
        if (role_of(item, fleet, settled) == store_role::announcer) {
            item.state = member_state::leaving;
        }
    }
    const auto ready_announcers = std::ranges::count_if(fleet, [&](const member_entry& item) {
        return item.state == member_state::ready &&
               role_of(item, fleet, settled) == store_role::announcer;
    });
    CHECK(ready_announcers == 2);
}

TEST_CASE("a VM is alone only if it has had time to hear of another")
{
    const auto fleet = make_fleet(1, 1);
    CHECK(role_of(fleet[0], fleet, milliseconds{100}) == store_role::follower);
    CHECK(role_of(fleet[0], fleet, seconds{1}) == store_role::alone);
    CHECK(select_store_role({fleet[0], fleet, milliseconds{0}, false}) == store_role::alone);
    const auto pair = make_fleet(2, 1);
    CHECK(role_of(pair[0], pair, seconds{1}) == store_role::follower);
    CHECK(role_of(pair[0], pair, settled) == store_role::announcer);
}

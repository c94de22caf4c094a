/** @file directory_test.cpp Tests of which VM addresses callers receive. */
#include "directory.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace sniperock;

namespace {

member_entry member(const std::string& address, const std::string& domain,
                    member_state state = member_state::ready)
{
    return {address, 70, address, domain, {1}, 1, state};
}

using addresses = std::vector<std::string>;

/** Addresses in an answer of VM a. */
addresses answered_addresses(const std::vector<member_entry>& members, const std::string& domain)
{
    static random_engine random{1};
    return directory_addresses(
        members, [](const member_entry&) { return false; }, domain, member("a", "north"), random);
}

} // namespace

TEST_CASE("callers receive the ready VMs of their failure domain")
{
    const std::vector<member_entry> members{
        member("a", "north"), member("b", "north"), member("c", "south"),
        member("d", "north", member_state::starting), member("e", "north", member_state::leaving)};
    CHECK(answered_addresses(members, "north") == addresses{"a:70", "b:70"});
}

TEST_CASE("with too few VMs in their failure domain callers receive all ready VMs")
{
    const std::vector<member_entry> members{member("a", "north"), member("b", "north"),
                                            member("c", "south")};
    CHECK(answered_addresses(members, "south") == addresses{"a:70", "b:70", "c:70"});
    CHECK(answered_addresses(members, "unknown") == addresses{"a:70", "b:70", "c:70"});
}

TEST_CASE("if no VM is ready the answer holds the address of the VM itself")
{
    CHECK(answered_addresses({member("a", "north", member_state::starting)}, "north") ==
          addresses{"a:70"});
}

TEST_CASE("an answer holds at most 64 addresses, and no VM is left out of all answers")
{
    std::vector<member_entry> members;
    members.reserve(100);
    for (int i = 0; i < 100; ++i) {
        members.push_back(member("vm-" + std::to_string(i), "north"));
    }
    std::map<std::string, int> count_by_address;
    constexpr int answers = 200;
    for (int i = 0; i < answers; ++i) {
        const auto answer = answered_addresses(members, "north");
        CHECK(answer.size() == 64);
        std::ranges::for_each(answer, [&](const auto& address) { ++count_by_address[address]; });
    }
    CHECK(count_by_address.size() == 100);
    const auto rarest = std::ranges::min_element(count_by_address, {},
                                                 [](const auto& item) { return item.second; });
    CHECK(rarest->second > answers * 0.64 / 2);
}

TEST_CASE("VMs that reach no upstream are left out of answers while others are ready")
{
    random_engine random{1};
    const auto is_isolated = [](const member_entry& vm) { return vm.name != "d"; };
    std::vector<member_entry> members{member("a", "north"), member("b", "north"),
                                      member("c", "south"), member("d", "south")};
    const auto self = members.front();
    CHECK(directory_addresses(members, is_isolated, "north", self, random) == addresses{"d:70"});
    members.pop_back();
    CHECK(directory_addresses(members, is_isolated, "north", self, random).size() == 3);
}

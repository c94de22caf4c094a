/** @file directory_test.cpp Which VMs callers are told of. */
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

/** What VM a answers. */
addresses named(const std::vector<member_entry>& members, const std::string& domain)
{
    static random_engine random{1};
    return directory_addresses(members, domain, member("a", "north"), random);
}

} // namespace

TEST_CASE("callers are told of the ready VMs of their failure domain")
{
    const std::vector<member_entry> members{
        member("a", "north"), member("b", "north"), member("c", "south"),
        member("d", "north", member_state::starting), member("e", "north", member_state::leaving)};
    CHECK(named(members, "north") == addresses{"a:70", "b:70"});
}

TEST_CASE("with too few VMs in their failure domain callers are told of all")
{
    const std::vector<member_entry> members{member("a", "north"), member("b", "north"),
                                            member("c", "south")};
    CHECK(named(members, "south") == addresses{"a:70", "b:70", "c:70"});
    CHECK(named(members, "unknown") == addresses{"a:70", "b:70", "c:70"});
}

TEST_CASE("if no VM is ready the one that was asked names itself")
{
    CHECK(named({member("a", "north", member_state::starting)}, "north") == addresses{"a:70"});
}

TEST_CASE("an answer holds at most 64 addresses, and no VM is left out of all answers")
{
    std::vector<member_entry> members;
    members.reserve(100);
    for (int at = 0; at < 100; ++at) {
        members.push_back(member("vm-" + std::to_string(at), "north"));
    }
    std::map<std::string, int> times;
    constexpr int answers = 200;
    for (int at = 0; at < answers; ++at) {
        const auto answer = named(members, "north");
        CHECK(answer.size() == 64);
        std::ranges::for_each(answer, [&](const auto& address) { ++times[address]; });
    }
    CHECK(times.size() == 100);
    const auto least =
        std::ranges::min_element(times, {}, [](const auto& item) { return item.second; });
    CHECK(least->second > answers * 0.64 / 2);
}

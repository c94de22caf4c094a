/** @file directory_test.cpp Which VMs callers are told of. */
#include "directory.hpp"

#include <catch2/catch.hpp>

using namespace sniperock;

namespace {

member_entry member(const std::string& address, const std::string& domain,
                    member_state state = member_state::ready)
{
    return {address, 70, address, domain, {1}, 1, state};
}

using addresses = std::vector<std::string>;

} // namespace

TEST_CASE("callers are told of the ready VMs of their failure domain")
{
    const std::vector<member_entry> members{
        member("a", "north"), member("b", "north"), member("c", "south"),
        member("d", "north", member_state::starting), member("e", "north", member_state::leaving)};
    CHECK(directory_addresses(members, "north", member("a", "north")) == addresses{"a:70", "b:70"});
}

TEST_CASE("with too few VMs in their failure domain callers are told of all")
{
    const std::vector<member_entry> members{member("a", "north"), member("b", "north"),
                                            member("c", "south")};
    CHECK(directory_addresses(members, "south", member("a", "north")) ==
          addresses{"a:70", "b:70", "c:70"});
    CHECK(directory_addresses(members, "unknown", member("a", "north")) ==
          addresses{"a:70", "b:70", "c:70"});
}

TEST_CASE("if no VM is ready the one that was asked names itself")
{
    CHECK(directory_addresses({member("a", "north", member_state::starting)}, "north",
                              member("a", "north")) == addresses{"a:70"});
}

TEST_CASE("an answer holds at most 64 addresses")
{
    std::vector<member_entry> members;
    members.reserve(100);
    for (int at = 0; at < 100; ++at) {
        members.push_back(member("vm-" + std::to_string(at), "north"));
    }
    CHECK(directory_addresses(members, "north", member("a", "north")).size() == 64);
}

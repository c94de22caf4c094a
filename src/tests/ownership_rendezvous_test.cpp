/** @file ownership_rendezvous_test.cpp Which vm owns a server. */
#include "ownership_rendezvous.hpp"

#include <catch2/catch.hpp>

#include <set>

using namespace sniperock;

namespace {

const std::vector<owner_candidate> candidates{
    {"a", "north"}, {"b", "north"}, {"c", "south"}, {"d", "south"}};

server_key server(int number)
{
    return {"portal", "s" + std::to_string(number)};
}

} // namespace

TEST_CASE("an owner stands in the server's failure domain")
{
    for (int at = 0; at < 50; ++at) {
        const auto owner = choose_owner(server(at), "south", candidates, 2);
        CHECK((owner == "c" || owner == "d"));
    }
}

TEST_CASE("without a candidate in its failure domain a server still has an owner")
{
    CHECK_FALSE(choose_owner(server(1), "east", candidates, 1).empty());
    CHECK(choose_owner(server(1), "east", {}, 1).empty());
}

TEST_CASE("owners_per_domain bounds how many vms share a service")
{
    std::set<std::string> narrow;
    std::set<std::string> wide;
    for (int at = 0; at < 50; ++at) {
        narrow.insert(choose_owner(server(at), "north", candidates, 1));
        wide.insert(choose_owner(server(at), "north", candidates, 2));
    }
    CHECK(narrow.size() == 1);
    CHECK(wide.size() == 2);
}

TEST_CASE("losing a vm moves only its own servers")
{
    std::vector<owner_candidate> fewer{candidates.begin(), candidates.end() - 1};
    for (int at = 0; at < 50; ++at) {
        const auto before = choose_owner(server(at), "south", candidates, 2);
        const auto after = choose_owner(server(at), "south", fewer, 2);
        CHECK((before == after || before == "d"));
    }
}

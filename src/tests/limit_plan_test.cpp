/** @file limit_plan_test.cpp Parts of limits and windows of grants. */
#include "limit_plan.hpp"
#include "random_type.hpp"

#include <catch2/catch.hpp>

#include <deque>
#include <numeric>

using namespace sniperock;

TEST_CASE("the parts of a limit always add up to it and follow the slots")
{
    for (std::uint64_t seed = 1; seed <= 2'000; ++seed) {
        INFO("seed " << seed);
        random_engine random(seed);
        std::vector<server_entry> servers(1 + random() % 40);
        for (std::size_t at = 0; at < servers.size(); ++at) {
            servers[at].name = "s" + std::to_string(at);
            servers[at].slots = static_cast<std::uint32_t>(1 + random() % 4);
        }
        const auto limit = static_cast<std::uint32_t>(random() % 500);
        const auto parts = divide_limit(limit, "gold", "portal", servers);
        REQUIRE(std::accumulate(parts.begin(), parts.end(), 0U) == limit);
        const auto slots = std::accumulate(
            servers.begin(), servers.end(), 0.0,
            [](double sum, const server_entry& server) { return sum + server.slots; });
        for (std::size_t at = 0; at < servers.size(); ++at) {
            const double exact = limit * servers[at].slots / slots;
            REQUIRE(std::abs(parts[at] - exact) <= 1);
        }
    }
}

TEST_CASE("no second holds more grants than the rate, and nearly all of them are given")
{
    for (std::uint64_t seed = 1; seed <= 2'000; ++seed) {
        INFO("seed " << seed);
        random_engine random(seed);
        const auto limit = static_cast<std::uint32_t>(1 + random() % 30);
        rate_window window;
        local_time now{std::chrono::hours{1}};
        std::deque<local_time> granted;
        std::size_t all = 0;
        for (int step = 0; step < 3'000; ++step) {
            now += microseconds{random() % 2'000};
            if (window.allows(limit, now)) {
                window.add(now);
                granted.push_back(now);
                ++all;
            }
            while (!granted.empty() && now - granted.front() >= seconds{1}) {
                granted.pop_front();
            }
            REQUIRE(granted.size() <= limit);
        }
        REQUIRE(all >= std::size_t{limit} * 2);
    }
}

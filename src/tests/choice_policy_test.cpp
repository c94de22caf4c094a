/** @file choice_policy_test.cpp Which upstreams the policies look at. */
#include "choice_policy.hpp"
#include "choice_subset.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace sniperock;

namespace {

const local_time now{seconds{100}};
constexpr request_estimate small_request{100, 500, true};
constexpr request_estimate download{100, 90'000, true};

/** Upstreams u-0 and so on; every third one is near. */
struct service {
    explicit service(int count) : upstreams(static_cast<std::size_t>(count))
    {
        for (std::size_t at = 0; at < upstreams.size(); ++at) {
            upstreams[at].entry.id = "u-" + std::to_string(at);
            all.push_back({&upstreams[at], at % 3 == 0, false});
        }
    }
    std::vector<upstream> upstreams;
    std::vector<candidate> all;
};

} // namespace

TEST_CASE("every policy can be made by its name, an unknown one is refused")
{
    for (const auto& name : choice_policies::instance().names()) {
        CHECK(choice_policies::instance().make(name) != nullptr);
    }
    CHECK(choice_policies::instance().names().size() == 4);
    CHECK_THROWS_AS(choice_policies::instance().make("nonsense"), unknown_plugin);
}

TEST_CASE("silent and unwell upstreams are looked at only for want of others")
{
    service jobs(6);
    jobs.upstreams[1].failures.record_no_response(now);
    jobs.upstreams[2].unhealthy = true;
    const auto policy = choice_policies::instance().make("fresh-probes");
    random_engine random{5};
    for (int round = 0; round < 50; ++round) {
        const auto picked = policy->sample(jobs.all, 4, small_request, random, now);
        CHECK(picked.size() == 4);
        CHECK(std::ranges::none_of(picked, [&](const candidate& what) {
            return what.item == &jobs.upstreams[1] || what.item == &jobs.upstreams[2];
        }));
    }
    CHECK(policy->sample(jobs.all, 6, small_request, random, now).back().item ==
          &jobs.upstreams[1]);
}

TEST_CASE("large answers are looked for in the failure domain first, small ones anywhere")
{
    service jobs(12);
    const auto policy = choice_policies::instance().make("fresh-probes");
    random_engine random{5};
    const auto near = [](const candidate& what) { return what.near; };
    CHECK(std::ranges::count_if(policy->sample(jobs.all, 5, download, random, now), near) == 4);
    std::ptrdiff_t of_small = 0;
    for (int round = 0; round < 100; ++round) {
        of_small +=
            std::ranges::count_if(policy->sample(jobs.all, 5, small_request, random, now), near);
    }
    CHECK(of_small < 250);
}

TEST_CASE("a VM keeps to the same part of a large service")
{
    service jobs(300);
    const auto first = stable_subset(jobs.all, 30, "vm-1");
    std::ranges::reverse(jobs.all);
    const auto second = stable_subset(jobs.all, 30, "vm-1");
    std::set<upstream*> left;
    std::set<upstream*> right;
    std::ranges::for_each(first, [&](const candidate& what) { left.insert(what.item); });
    std::ranges::for_each(second, [&](const candidate& what) { right.insert(what.item); });
    CHECK(left.size() == 30);
    CHECK(left == right);
    CHECK(std::ranges::count_if(first, [](const candidate& what) { return what.near; }) >= 15);
}

TEST_CASE("all VMs together use every upstream of a large service")
{
    service jobs(300);
    std::map<upstream*, int> used;
    for (int vm = 0; vm < 104; ++vm) {
        for (const auto& what : stable_subset(jobs.all, 30, "vm-" + std::to_string(vm))) {
            ++used[what.item];
        }
    }
    CHECK(used.size() == 300);
    CHECK(std::ranges::max(used | std::views::values) < 40);
}

TEST_CASE("round robin goes round")
{
    service jobs(3);
    const auto policy = choice_policies::instance().make("round-robin");
    random_engine random{5};
    std::set<upstream*> seen;
    for (int at = 0; at < 3; ++at) {
        seen.insert(policy->sample(jobs.all, 1, small_request, random, now).front().item);
    }
    CHECK(seen.size() == 3);
}

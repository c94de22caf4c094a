/** @file choice_policy_test.cpp Upstreams that the policies sample, and subsets of large services.
 */
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

/** Upstreams u-0, u-1 and so on; every third one is in the failure domain of the VM. */
struct service {
    explicit service(int count) : upstreams(static_cast<std::size_t>(count))
    {
        for (std::size_t i = 0; i < upstreams.size(); ++i) {
            upstreams[i].entry.id = "u-" + std::to_string(i);
            all.push_back({&upstreams[i], i % 3 == 0, false});
        }
    }
    std::vector<upstream> upstreams;
    std::vector<candidate> all;
};

} // namespace

TEST_CASE("every policy can be created by its name, an unknown name is rejected")
{
    for (const auto& name : choice_policies::instance().names()) {
        CHECK(choice_policies::instance().make(name) != nullptr);
    }
    CHECK(choice_policies::instance().names().size() == 4);
    CHECK_THROWS_AS(choice_policies::instance().make("nonsense"), unknown_plugin);
}

TEST_CASE("upstreams that are unhealthy or in backoff are sampled only if there are too few others")
{
    service jobs(6);
    jobs.upstreams[1].failures.record_no_response(now);
    jobs.upstreams[2].unhealthy = true;
    const auto policy = choice_policies::instance().make("fresh-probes");
    random_engine random{5};
    for (int round = 0; round < 50; ++round) {
        const auto picked = policy->sample(jobs.all, 4, small_request, random, now);
        CHECK(picked.size() == 4);
        CHECK(std::ranges::none_of(picked, [&](const candidate& option) {
            return option.item == &jobs.upstreams[1] || option.item == &jobs.upstreams[2];
        }));
    }
    CHECK(policy->sample(jobs.all, 6, small_request, random, now).back().item ==
          &jobs.upstreams[1]);
}

TEST_CASE("upstreams in the same failure domain are sampled first, but only for large answers")
{
    service jobs(12);
    const auto policy = choice_policies::instance().make("fresh-probes");
    random_engine random{5};
    const auto same_domain = [](const candidate& option) { return option.same_domain; };
    CHECK(std::ranges::count_if(policy->sample(jobs.all, 5, download, random, now), same_domain) ==
          4);
    std::ptrdiff_t same_domain_count = 0;
    for (int round = 0; round < 100; ++round) {
        same_domain_count += std::ranges::count_if(
            policy->sample(jobs.all, 5, small_request, random, now), same_domain);
    }
    CHECK(same_domain_count < 250);
}

TEST_CASE(
    "the subset of a large service that a VM uses is independent of the order of the upstreams")
{
    service jobs(300);
    const auto first = stable_subset(jobs.all, 30, "vm-1");
    std::ranges::reverse(jobs.all);
    const auto second = stable_subset(jobs.all, 30, "vm-1");
    std::set<upstream*> first_set;
    std::set<upstream*> second_set;
    std::ranges::for_each(first, [&](const candidate& option) { first_set.insert(option.item); });
    std::ranges::for_each(second, [&](const candidate& option) { second_set.insert(option.item); });
    CHECK(first_set.size() == 30);
    CHECK(first_set == second_set);
    CHECK(std::ranges::count_if(first,
                                [](const candidate& option) { return option.same_domain; }) >= 15);
}

TEST_CASE("the subsets of all VMs together cover every upstream of a large service")
{
    service jobs(300);
    std::map<upstream*, int> use_counts;
    for (int vm = 0; vm < 104; ++vm) {
        for (const auto& option : stable_subset(jobs.all, 30, "vm-" + std::to_string(vm))) {
            ++use_counts[option.item];
        }
    }
    CHECK(use_counts.size() == 300);
    CHECK(std::ranges::max(use_counts | std::views::values) < 40);
}

TEST_CASE("round robin selects every upstream in turn")
{
    service jobs(3);
    const auto policy = choice_policies::instance().make("round-robin");
    random_engine random{5};
    std::set<upstream*> seen;
    for (int i = 0; i < 3; ++i) {
        seen.insert(policy->sample(jobs.all, 1, small_request, random, now).front().item);
    }
    CHECK(seen.size() == 3);
}

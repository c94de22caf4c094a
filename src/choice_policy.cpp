/** @file choice_policy.cpp The policy that uses fresh probes, and the baseline policies that it is
 * compared with. */
#include "choice_policy.hpp"

#include <algorithm>

namespace sniperock {
namespace {

/** Expected answer length in bytes from which upstreams in the same failure domain are preferred.
 */
constexpr double prefer_same_domain_bytes = 20'000;

/**
 * Probes a few upstreams for their load just before the request is sent, since load shifts faster
 * than reports arrive.
 */
class fresh_probes final : public choice_policy {
public:
    [[nodiscard]] bool probes() const override { return true; }

    std::vector<candidate> sample(std::span<const candidate> all, std::size_t max_count,
                                  const request_estimate& request, random_engine& random,
                                  local_time now) override
    {
        std::vector<candidate> picked(all.begin(), all.end());
        std::ranges::shuffle(picked, random);
        // Unhealthy upstreams and those in backoff come last. For large answers, upstreams in the
        // same failure domain come first, since bytes between failure domains are expensive.
        const bool prefer_same_domain = request.answer_bytes >= prefer_same_domain_bytes;
        const auto sort_group = [&](const candidate& option) {
            const auto& failures = option.item->failures;
            const int health_penalty =
                (failures.in_backoff(now) ? 4 : 0) + (option.item->unhealthy ? 2 : 0);
            return health_penalty + (prefer_same_domain && !option.same_domain ? 1 : 0);
        };
        std::ranges::stable_sort(picked, {}, sort_group);
        picked.resize(std::min(picked.size(), max_count));
        return picked;
    }

    [[nodiscard]] double rank(const candidate& option, const request_estimate& request,
                              local_time now) const override
    {
        return rank_ms(option, request, now);
    }
};

/** Baseline: round robin over all upstreams. */
class round_robin final : public choice_policy {
public:
    std::vector<candidate> sample(std::span<const candidate> all, std::size_t,
                                  const request_estimate&, random_engine&, local_time) override
    {
        return {all[next_++ % all.size()]};
    }

    [[nodiscard]] double rank(const candidate&, const request_estimate&, local_time) const override
    {
        return 0;
    }

private:
    std::size_t next_ = 0;
};

/** Baseline: the upstream with the fewest requests in flight from this VM. */
class fewest_requests final : public choice_policy {
public:
    std::vector<candidate> sample(std::span<const candidate> all, std::size_t,
                                  const request_estimate&, random_engine& random,
                                  local_time) override
    {
        std::vector<candidate> picked(all.begin(), all.end());
        std::ranges::shuffle(picked, random);
        return picked;
    }

    [[nodiscard]] double rank(const candidate& option, const request_estimate&,
                              local_time) const override
    {
        return option.item->in_flight;
    }
};

/** Baseline: the better of two random upstreams, compared by the load reports that came with
 * earlier answers. */
class two_reports final : public choice_policy {
public:
    std::vector<candidate> sample(std::span<const candidate> all, std::size_t,
                                  const request_estimate&, random_engine& random,
                                  local_time) override
    {
        std::vector<candidate> picked;
        std::ranges::sample(all, std::back_inserter(picked), 2, random);
        return picked;
    }

    [[nodiscard]] double rank(const candidate& option, const request_estimate& request,
                              local_time now) const override
    {
        return rank_ms({option.item, option.same_domain, true}, request, now);
    }
};

template <typename Policy>
std::unique_ptr<choice_policy> make_policy()
{
    return std::make_unique<Policy>();
}

const choice_policy_registration fresh_probes_entry("fresh-probes", make_policy<fresh_probes>);
const choice_policy_registration round_robin_entry("round-robin", make_policy<round_robin>);
const choice_policy_registration fewest_entry("fewest-requests", make_policy<fewest_requests>);
const choice_policy_registration two_reports_entry("two-reports", make_policy<two_reports>);

} // namespace
} // namespace sniperock

/** @file choice_policy.cpp The policy of fresh probes and the baselines that it is compared with.
 */
#include "choice_policy.hpp"

#include <algorithm>

namespace sniperock {
namespace {

/** An answer of this many bytes is worth looking for in the failure domain first. */
constexpr double near_first_bytes = 20'000;

/**
 * A few upstreams are asked for their load just before the request, since load shifts faster than
 * reports travel.
 */
class fresh_probes final : public choice_policy {
public:
    [[nodiscard]] bool probes() const override { return true; }

    std::vector<candidate> sample(std::span<const candidate> all, std::size_t most,
                                  const request_estimate& request, random_engine& random,
                                  local_time now) override
    {
        std::vector<candidate> picked(all.begin(), all.end());
        std::ranges::shuffle(picked, random);
        // Those that fail or are in_backoff come last; near ones first where bytes are dear.
        const bool near_first = request.answer_bytes >= near_first_bytes;
        const auto group = [&](const candidate& what) {
            const auto& failures = what.item->failures;
            const int distrust =
                (failures.in_backoff(now) ? 4 : 0) + (what.item->unhealthy ? 2 : 0);
            return distrust + (near_first && !what.near ? 1 : 0);
        };
        std::ranges::stable_sort(picked, {}, group);
        picked.resize(std::min(picked.size(), most));
        return picked;
    }

    [[nodiscard]] double rank(const candidate& what, const request_estimate& request,
                              local_time now) const override
    {
        return rank_ms(what, request, now);
    }
};

/** Baseline: one upstream after the other. */
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

/** Baseline: the upstream with the fewest requests of this VM. */
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

    [[nodiscard]] double rank(const candidate& what, const request_estimate&,
                              local_time) const override
    {
        return what.item->in_flight;
    }
};

/** Baseline: the better of two by the reports that came with earlier answers. */
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

    [[nodiscard]] double rank(const candidate& what, const request_estimate& request,
                              local_time now) const override
    {
        return rank_ms({what.item, what.near, true}, request, now);
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

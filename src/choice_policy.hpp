/** @file choice_policy.hpp Policies that select the upstream for a request. */
#pragma once

#include "choice_score.hpp"
#include "plugin.hpp"
#include "random_type.hpp"

#include <span>
#include <vector>

namespace sniperock {

/** Selects among the usable upstreams of a service; one instance per process. */
class choice_policy {
public:
    choice_policy() = default;
    virtual ~choice_policy() = default;
    choice_policy(const choice_policy&) = delete;
    choice_policy& operator=(const choice_policy&) = delete;

    /** True if candidates are probed before they are ranked and a request waits for a free slot. */
    [[nodiscard]] virtual bool probes() const { return false; }
    /** Selects the candidates to rank, at most @p max_count; the baseline policies ignore it. */
    virtual std::vector<candidate> sample(std::span<const candidate> all, std::size_t max_count,
                                          const request_estimate& request, random_engine& random,
                                          local_time now) = 0;
    /** Rank of a candidate; the lowest rank is the best. */
    [[nodiscard]] virtual double rank(const candidate& option, const request_estimate& request,
                                      local_time now) const = 0;
};

using choice_policies = plugin_registry<choice_policy>;
using choice_policy_registration = plugin_registration<choice_policy>;

} // namespace sniperock

/** @file choice_policy.hpp Policies that choose the upstream of a request. */
#pragma once

#include "choice_score.hpp"
#include "plugin.hpp"
#include "random_type.hpp"

#include <span>
#include <vector>

namespace sniperock {

/** Chooses among the upstreams of a service that may be used; one object serves one process. */
class choice_policy {
public:
    choice_policy() = default;
    virtual ~choice_policy() = default;
    choice_policy(const choice_policy&) = delete;
    choice_policy& operator=(const choice_policy&) = delete;

    /** The candidates are probed before they are ranked, and a request waits for a free slot. */
    [[nodiscard]] virtual bool probes() const { return false; }
    /** Picks the candidates that are looked at, up to @p most. */
    virtual std::vector<candidate> sample(std::span<const candidate> all, std::size_t most,
                                          const request_estimate& request, random_engine& random,
                                          local_time now) = 0;
    /** The lower the better. */
    [[nodiscard]] virtual double rank(const candidate& what, const request_estimate& request,
                                      local_time now) const = 0;
};

using choice_policies = plugin_registry<choice_policy>;
using choice_policy_registration = plugin_registration<choice_policy>;

} // namespace sniperock

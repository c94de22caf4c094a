/** @file limit_state.hpp One plan's weight, limits and use of one service on one vm. */
#pragma once

#include "dispatch_type.hpp"
#include "limit_plan.hpp"
#include "queue_estimate.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace prometheus {
class Histogram;
} // namespace prometheus

namespace sniperock {

/** Parts of one limit by server name. */
using limit_parts = std::map<std::string, std::uint32_t, std::less<>>;

/** What the operators' lists say of one plan in one service, divided among its servers. */
struct plan_rules {
    std::uint32_t weight = 1;
    std::uint32_t max_in_flight = 0;
    std::uint32_t max_rate = 0;
    limit_parts in_flight_parts;
    limit_parts rate_parts;
};

/** Divides a plan's limits. @param entry the whole service. */
plan_rules make_plan_rules(const allowance& allowed, const service_entry& entry);
/** For each server the smaller part of the two, where both have that limit. */
plan_rules stricter(const plan_rules& a, const plan_rules& b);

/** A plan as the scheduler sees it. */
struct plan_state {
    /** False once the operators took its allowance away. */
    bool allowed = true;
    plan_rules rules;
    /** Stricter rules that hold until every vm has surely read the new ones. */
    std::optional<plan_rules> settling;
    /** Permits that this vm granted and that were not given back, handed over or not. */
    std::uint32_t in_flight = 0;
    rate_window rate;
    slot_time held;
    /** Waits by class of call; null until one was seen. */
    std::array<prometheus::Histogram*, enum_names<call_class>.size()> waits{};

    [[nodiscard]] const plan_rules& in_force() const { return settling ? *settling : rules; }
};

} // namespace sniperock

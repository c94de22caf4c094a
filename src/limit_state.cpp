/** @file limit_state.cpp Turns allowances into parts for each server. */
#include "limit_state.hpp"

#include <algorithm>

namespace sniperock {
namespace {

limit_parts parts_of(std::uint32_t limit, const allowance& allowed, const service_entry& entry)
{
    limit_parts result;
    if (limit == 0) {
        return result;
    }
    const auto parts = divide_limit(limit, allowed.plan, entry.name, entry.servers);
    for (std::size_t at = 0; at < parts.size(); ++at) {
        result.emplace(entry.servers[at].name, parts[at]);
    }
    return result;
}

/** Each server's smaller part; a server that one side lacks has none. */
limit_parts smaller(const limit_parts& a, const limit_parts& b)
{
    limit_parts result;
    for (const auto& [server, part] : a) {
        const auto other = b.find(server);
        result.emplace(server, other == b.end() ? 0 : std::min(part, other->second));
    }
    return result;
}

} // namespace

plan_rules make_plan_rules(const allowance& allowed, const service_entry& entry)
{
    return {std::max(allowed.weight, 1U), allowed.max_in_flight, allowed.max_rate,
            parts_of(allowed.max_in_flight, allowed, entry),
            parts_of(allowed.max_rate, allowed, entry)};
}

plan_rules stricter(const plan_rules& a, const plan_rules& b)
{
    plan_rules result = b;
    if (a.max_in_flight > 0 && b.max_in_flight > 0) {
        result.in_flight_parts = smaller(a.in_flight_parts, b.in_flight_parts);
    }
    if (a.max_rate > 0 && b.max_rate > 0) {
        result.rate_parts = smaller(a.rate_parts, b.rate_parts);
    }
    return result;
}

} // namespace sniperock

/** @file limit_plan.cpp Whole parts of a limit, and a sliding count of grants. */
#include "limit_plan.hpp"
#include "hash_func.hpp"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace sniperock {
namespace {

/** A server's claim to one more unit. */
struct remainder {
    std::uint64_t left = 0;
    std::uint64_t tie = 0;
    std::size_t index = 0;
};

} // namespace

std::vector<std::uint32_t> divide_limit(std::uint32_t limit, const std::string& plan,
                                        const std::string& service,
                                        const std::vector<server_entry>& servers)
{
    std::vector<std::uint32_t> parts(servers.size(), 0);
    const auto all = std::accumulate(
        servers.begin(), servers.end(), std::uint64_t{0},
        [](std::uint64_t sum, const server_entry& server) { return sum + server.slots; });
    if (all == 0) {
        return parts;
    }
    std::vector<remainder> remainders;
    std::uint32_t given = 0;
    for (std::size_t at = 0; at < servers.size(); ++at) {
        const std::uint64_t exact = std::uint64_t{limit} * servers[at].slots;
        parts[at] = static_cast<std::uint32_t>(exact / all);
        given += parts[at];
        const auto tie = stable_hash(servers[at].name, stable_hash(service, stable_hash(plan)));
        remainders.push_back({exact % all, tie, at});
    }
    std::ranges::sort(remainders, [](const remainder& a, const remainder& b) {
        return std::tie(b.left, b.tie, b.index) < std::tie(a.left, a.tie, a.index);
    });
    for (std::uint32_t unit = 0; unit < limit - given; ++unit) {
        ++parts[remainders[unit % remainders.size()].index];
    }
    return parts;
}

void rate_window::advance(local_time now)
{
    const std::int64_t current = now.time_since_epoch() / slice;
    const std::int64_t steps = std::min<std::int64_t>(current - newest_, slices);
    for (std::int64_t step = 0; step < steps; ++step) {
        auto& oldest = counts_[static_cast<std::size_t>(current - step) % slices];
        total_ -= oldest;
        oldest = 0;
    }
    newest_ = std::max(newest_, current);
}

bool rate_window::allows(std::uint32_t limit, local_time now)
{
    advance(now);
    return total_ < limit;
}

void rate_window::add(local_time now)
{
    advance(now);
    ++counts_[static_cast<std::size_t>(newest_) % slices];
    ++total_;
}

milliseconds rate_window::next_change(local_time now) const
{
    const std::int64_t current = now.time_since_epoch() / slice;
    for (std::int64_t age = slices - 1; age > 0; --age) {
        if (counts_[static_cast<std::size_t>(current - age + std::int64_t{slices}) % slices] > 0) {
            return slice * (static_cast<std::int64_t>(slices) - age);
        }
    }
    return slice * static_cast<std::int64_t>(slices);
}

} // namespace sniperock

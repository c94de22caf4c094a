/** @file queue_fair.cpp Start-time fair queuing between plans, earliest deadline first within one.
 */
#include "queue_fair.hpp"

#include <algorithm>
#include <iterator>
#include <limits>
#include <ranges>

namespace sniperock {

void fair_queue::enter_order(const std::string& plan, const flow& item)
{
    if (!item.calls.empty() && !item.blocked) {
        order_.emplace(item.start, plan);
        waiting_weight_ += item.weight;
    }
}

void fair_queue::leave_order(const std::string& plan, const flow& item)
{
    if (order_.erase({item.start, plan}) > 0) {
        waiting_weight_ -= item.weight;
    }
}

void fair_queue::set_weight(const std::string& plan, std::uint32_t weight)
{
    auto& item = flows_[plan];
    leave_order(plan, item);
    item.weight = std::max(weight, 1U);
    enter_order(plan, item);
}

void fair_queue::push(const queued_call& call)
{
    auto& item = flows_[call.plan];
    leave_order(call.plan, item);
    if (item.calls.empty()) {
        item.start = std::max(item.start, virtual_time_);
    }
    item.calls.emplace(call.deadline, call.ticket);
    places_[call.ticket] = {call.plan, call.deadline};
    enter_order(call.plan, item);
}

bool fair_queue::erase(call_ticket ticket)
{
    const auto found = places_.find(ticket);
    if (found == places_.end()) {
        return false;
    }
    const location where = found->second;
    places_.erase(found);
    auto& item = flows_[where.plan];
    leave_order(where.plan, item);
    item.calls.erase({where.deadline, ticket});
    enter_order(where.plan, item);
    return true;
}

void fair_queue::set_blocked(const std::string& plan, bool blocked)
{
    auto& item = flows_[plan];
    leave_order(plan, item);
    item.blocked = blocked;
    enter_order(plan, item);
}

std::vector<queued_call> fair_queue::heads(std::size_t most) const
{
    std::vector<queued_call> result;
    for (const auto& [start, plan] : order_ | std::views::take(most)) {
        const auto& [deadline, ticket] = *flows_.find(plan)->second.calls.begin();
        result.push_back({ticket, plan, deadline});
    }
    return result;
}

void fair_queue::charge(const std::string& plan, double cost)
{
    auto& item = flows_[plan];
    leave_order(plan, item);
    const double start = std::max(item.start, virtual_time_);
    virtual_time_ = start;
    item.start = start + cost / item.weight;
    enter_order(plan, item);
}

std::vector<queued_call> fair_queue::take_due(local_time time)
{
    std::vector<queued_call> due;
    for (const auto& [plan, item] : flows_) {
        const auto late = std::ranges::subrange(
            item.calls.begin(),
            item.calls.upper_bound({time, call_ticket{std::numeric_limits<std::uint64_t>::max()}}));
        std::ranges::transform(late, std::back_inserter(due), [&](const place& at) {
            return queued_call{at.second, plan, at.first};
        });
    }
    std::ranges::for_each(due, [this](const queued_call& call) { erase(call.ticket); });
    return due;
}

std::optional<queued_call> fair_queue::overflow(const std::string& arriving) const
{
    const auto excess = [&](const auto& entry) {
        const std::size_t calls = entry.second.calls.size() + (entry.first == arriving ? 1 : 0);
        return static_cast<double>(calls) / entry.second.weight;
    };
    const auto most = std::ranges::max_element(flows_, {}, excess);
    if (most == flows_.end() || most->first == arriving || most->second.calls.empty()) {
        return std::nullopt;
    }
    const auto& [deadline, ticket] = *most->second.calls.rbegin();
    return queued_call{ticket, most->first, deadline};
}

std::size_t fair_queue::position(const std::string& plan, local_time deadline) const
{
    const auto found = flows_.find(plan);
    if (found == flows_.end()) {
        return 0;
    }
    const auto& calls = found->second.calls;
    const place last{deadline, call_ticket{std::numeric_limits<std::uint64_t>::max()}};
    const auto later = std::distance(calls.upper_bound(last), calls.end());
    return calls.size() - static_cast<std::size_t>(later);
}

double fair_queue::share(const std::string& plan) const
{
    const auto found = flows_.find(plan);
    const double weight = found == flows_.end() ? 1 : found->second.weight;
    const bool counted = found != flows_.end() && order_.contains({found->second.start, plan});
    const double all = static_cast<double>(waiting_weight_) + (counted ? 0 : weight);
    return weight / all;
}

std::size_t fair_queue::size_of(const std::string& plan) const
{
    const auto found = flows_.find(plan);
    return found == flows_.end() ? 0 : found->second.calls.size();
}

} // namespace sniperock

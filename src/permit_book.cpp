/** @file permit_book.cpp Bookkeeping of outstanding permits and of requests seen. */
#include "permit_book.hpp"

#include <algorithm>
#include <iterator>
#include <ranges>

namespace sniperock {

void permit_book::add(const permit_record& record)
{
    permits_[record.permit] = record;
    if (record.expires) {
        by_fence_.emplace(record.fence, record.permit);
    }
}

const permit_record* permit_book::find(permit_id permit) const
{
    const auto found = permits_.find(permit);
    return found == permits_.end() ? nullptr : &found->second;
}

void permit_book::unlink(const permit_record& record)
{
    by_fence_.erase({record.fence, record.permit});
    permits_.erase(record.permit);
}

std::optional<permit_record> permit_book::take(permit_id permit)
{
    const auto found = permits_.find(permit);
    if (found == permits_.end()) {
        return std::nullopt;
    }
    permit_record record = found->second;
    unlink(record);
    return record;
}

std::vector<permit_record> permit_book::take_expired(wall_time time)
{
    std::vector<permit_record> expired;
    while (!by_fence_.empty() && by_fence_.begin()->first < time) {
        expired.push_back(*take(by_fence_.begin()->second));
    }
    return expired;
}

std::vector<permit_record> permit_book::take_server(const std::string& server)
{
    std::vector<permit_record> taken;
    std::ranges::copy_if(permits_ | std::views::values, std::back_inserter(taken),
                         [&](const permit_record& record) { return record.server == server; });
    std::ranges::for_each(taken, [this](const permit_record& record) { unlink(record); });
    return taken;
}

void permit_book::shorten(const peer_identity& holder, wall_time until)
{
    for (auto& record : permits_ | std::views::values) {
        if (record.expires && record.holder == holder && record.fence > until) {
            by_fence_.erase({record.fence, record.permit});
            record.fence = until;
            by_fence_.emplace(record.fence, record.permit);
        }
    }
}

wall_time permit_book::latest_fence(const std::string& plan) const
{
    wall_time latest{};
    for (const auto& record : permits_ | std::views::values) {
        if (record.plan == plan) {
            latest = std::max(latest, record.fence);
        }
    }
    return latest;
}

const request_state* permit_book::request(const request_key& key) const
{
    const auto found = requests_.find(key);
    return found == requests_.end() ? nullptr : &found->second;
}

void permit_book::note_request(const request_key& key, const request_state& state)
{
    const auto known = requests_.find(key);
    if (known != requests_.end()) {
        requests_by_fence_.erase({known->second.fence, key});
    }
    requests_[key] = state;
    requests_by_fence_.emplace(state.fence, key);
}

void permit_book::forget_requests(wall_time time)
{
    while (!requests_by_fence_.empty() && requests_by_fence_.begin()->first < time) {
        requests_.erase(requests_by_fence_.begin()->second);
        requests_by_fence_.erase(requests_by_fence_.begin());
    }
    std::erase_if(early_, [time](const auto& item) { return item.second < time; });
}

void permit_book::note_early_release(permit_id permit, wall_time fence)
{
    early_[permit] = fence;
}

bool permit_book::take_early_release(permit_id permit)
{
    return early_.erase(permit) > 0;
}

} // namespace sniperock

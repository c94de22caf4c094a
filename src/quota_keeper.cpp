/** @file quota_keeper.cpp The parts of the accounts' quotas that this VM holds. */
#include "quota_keeper.hpp"

#include "hash_func.hpp"

#include <algorithm>
#include <chrono>

namespace sniperock {

void quota_keeper::configure(const quota_bounds& bounds, const quota_limits& limits, local_time now)
{
    const bool same_bounds = bounds == bounds_;
    std::erase_if(ended_, [&](const auto& item) { return now - item.second >= bounds.window; });
    std::map<quota_subject, known_limit> known;
    for (const auto& [account, limit] : limits) {
        const auto found = limits_.find(account);
        if (found == limits_.end()) {
            // Nothing was counted before, so that a whole burst may follow.
            known[account] = {limit, ended_.contains(account) ? now : local_time{}};
        }
        else if (same_bounds && found->second.limit == limit) {
            known[account] = found->second;
        }
        else {
            known[account] = {limit, now};
        }
    }
    for (const auto& item : limits_) {
        if (!known.contains(item.first)) {
            ended_[item.first] = now;
        }
    }
    const bool changed = !same_bounds || known != limits_;
    bounds_ = bounds;
    limits_ = std::move(known);
    std::erase_if(parts_, [this](const auto& item) { return !limits_.contains(item.first); });
    view_ += changed ? 1 : 0;
}

void quota_keeper::set_fleet(std::vector<std::string> names, bool settled, local_time unused_since)
{
    names_ = std::move(names);
    settled_ = settled;
    unused_since_ = unused_since;
    ++view_;
}

bool quota_keeper::is_limited(quota_subject account) const
{
    return bounds_.window > milliseconds{0} && limits_.contains(account);
}

const std::vector<std::string>* quota_keeper::holders(quota_subject account, local_time now)
{
    const auto* item = find_part(account, now);
    return item == nullptr ? nullptr : &item->holders;
}

std::size_t quota_keeper::part_capacity(quota_subject account, local_time now)
{
    const auto* item = find_part(account, now);
    if (item == nullptr) {
        return 1;
    }
    const auto share = share_of_quota(limits_.at(account).limit, bounds_, item->holders.size());
    return std::max<std::size_t>(static_cast<std::size_t>(share.capacity), 1);
}

quota_grant quota_keeper::take(quota_subject account, std::size_t wanted, local_time now)
{
    auto* item = find_part(account, now);
    if (item == nullptr || !item->bucket) {
        return {0, settled_ ? bounds_.window : milliseconds{0}};
    }
    const auto taken = item->bucket->take(wanted, now);
    return {taken, item->bucket->time_to_token(now)};
}

void quota_keeper::give_back(quota_subject account, local_time now)
{
    auto* item = find_part(account, now);
    if (item != nullptr && item->bucket) {
        item->bucket->give_back(now);
    }
}

/** This VM's part of an account's quota by the present view; null for an account without a limit.
 */
quota_keeper::part* quota_keeper::find_part(quota_subject account, local_time now)
{
    const auto known = limits_.find(account);
    if (known == limits_.end() || !is_limited(account)) {
        return nullptr;
    }
    auto& item = parts_[account];
    if (item.view != view_) {
        item.holders = pick_holders(account, known->second.limit);
        update_bucket(item, known->second, now);
        item.view = view_;
    }
    return &item;
}

void quota_keeper::update_bucket(part& item, const known_limit& known, local_time now) const
{
    if (!settled_ || std::ranges::find(item.holders, self_) == item.holders.end()) {
        item.bucket.reset();
        return;
    }
    const auto share = share_of_quota(known.limit, bounds_, item.holders.size());
    const bool held_before = item.bucket && item.view + 1 == view_;
    if (item.bucket) {
        item.bucket->set_share(share, now);
    }
    else {
        item.bucket.emplace(share, share.capacity, now);
    }
    if (!held_before) {
        // It has been filling since this VM may have become a holder.
        const std::chrono::duration<double> filling = now - std::max(unused_since_, known.since);
        item.bucket->limit_tokens(share.rate * filling.count(), now);
    }
}

std::vector<std::string> quota_keeper::pick_holders(quota_subject account,
                                                    const quota_limit& limit) const
{
    const auto count = quota_holder_count(limit, bounds_, names_.size());
    auto names = names_;
    if (count == names.size()) {
        return names;
    }
    std::ranges::partial_sort(
        names, names.begin() + static_cast<std::ptrdiff_t>(count), {},
        [account](const std::string& name) { return stable_hash(name, account.value); });
    names.resize(count);
    return names;
}

} // namespace sniperock

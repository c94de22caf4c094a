/** @file admin_auth.cpp Who asks the administration API, and how often a wrong key may be tried. */
#include "admin_auth.hpp"
#include "hash_func.hpp"

#include <algorithm>

namespace sniperock {

std::optional<admin_identity> authenticate(std::string_view key,
                                           const std::vector<admin_entry>& admins,
                                           const std::string& first_key_hash)
{
    const auto hash = sha256_hex(key);
    std::optional<admin_identity> found;
    for (const auto& admin : admins) {
        for (const auto& accepted : admin.key_hashes) {
            if (equal_in_constant_time(hash, accepted)) {
                found = admin_identity{admin.name, admin.role, false};
            }
        }
    }
    const bool first = !first_key_hash.empty() && equal_in_constant_time(hash, first_key_hash);
    if (first && admins.empty()) {
        found = admin_identity{"first-key", admin_role::administer, true};
    }
    return found;
}

bool auth_limiter::may_try(const std::string& address, local_time now)
{
    const std::lock_guard lock(mutex_);
    return refill(address, now).tokens >= 1;
}

void auth_limiter::note_failure(const std::string& address, local_time now)
{
    const std::lock_guard lock(mutex_);
    auto& count = refill(address, now);
    count.tokens = std::max(0.0, count.tokens - 1);
}

auth_limiter::bucket& auth_limiter::refill(const std::string& address, local_time now)
{
    const bool full = buckets_.size() >= limits_.addresses && !buckets_.contains(address);
    if (full) {
        std::erase_if(buckets_, [&](const auto& item) {
            const std::chrono::duration<double> rest = now - item.second.last;
            return item.second.tokens + rest.count() * limits_.rate >= limits_.burst;
        });
    }
    const bool shared = buckets_.size() >= limits_.addresses && !buckets_.contains(address);
    const auto [found, is_new] = buckets_.try_emplace(shared ? "" : address);
    auto& count = found->second;
    const std::chrono::duration<double> passed = now - count.last;
    count.tokens = is_new ? limits_.burst
                          : std::min(limits_.burst, count.tokens + passed.count() * limits_.rate);
    count.last = now;
    return count;
}

} // namespace sniperock

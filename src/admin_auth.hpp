/** @file admin_auth.hpp Who asks the administration API, and how often a wrong key may be tried. */
#pragma once

#include "clock_type.hpp"
#include "config_type.hpp"

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace sniperock {

/** An operator who was recognised by a key. */
struct admin_identity {
    std::string name;
    admin_role role = admin_role::read;
    /** The key comes from the settings and holds until operators are listed. */
    bool bootstrap_key = false;
};

/**
 * Finds the operator of a key; compares with every hash in a time that does not depend on them.
 * @param first_key_hash SHA-256 from the settings, valid while @p admins is empty; may be empty.
 */
std::optional<admin_identity> authenticate(std::string_view key,
                                           const std::vector<admin_entry>& admins,
                                           const std::string& first_key_hash);

/** Bounds of wrong keys from one address. */
struct auth_limits {
    /** Wrong keys at once. */
    double burst = 10;
    /** Wrong keys a second in the long run. */
    double rate = 1;
    /** Addresses that are remembered; beyond these, all share one count. */
    std::size_t addresses = 1'024;
};

/** Counts wrong keys by address. Thread-safe; time is passed in. */
class auth_limiter {
public:
    explicit auth_limiter(auth_limits limits) : limits_(limits) {}

    /** True if @p address may try a key now. */
    bool may_try(const std::string& address, local_time now);
    /** Counts a wrong key. */
    void note_failure(const std::string& address, local_time now);

private:
    struct bucket {
        double tokens = 0;
        local_time last{};
    };

    /** The address' count, refilled; the caller holds the mutex. */
    bucket& refill(const std::string& address, local_time now);

    auth_limits limits_;
    std::mutex mutex_;
    std::map<std::string, bucket> buckets_;
};

} // namespace sniperock

/** @file account_table.hpp Finds the client account that holds a key. */
#pragma once

#include "config_type.hpp"
#include "http_type.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sniperock {

/** Longest name of an account; names are sent in heads, which are limited. */
inline constexpr std::size_t max_account_name = 256;

/** True if @p name can be sent in a header as it is. */
bool is_account_name(std::string_view name);

/**
 * Returns the key that a request states in its header Authorization.
 * @param scheme authentication scheme that precedes the key; its letter case is ignored.
 * @return a view into @p headers; empty if there is no such header, several, or one of another
 * form.
 */
std::string_view stated_key(const http_headers& headers, std::string_view scheme);

/** The accounts of one configuration by key and by name; immutable. A look-up takes the same time
 * whatever their number, and does not tell by its duration how much of a key was right. */
class account_table {
public:
    /** @param accounts must outlive the table, which takes their keys out; empty optional if
     * requests need no key. */
    explicit account_table(std::optional<std::vector<account_config>>& accounts);

    /** True if requests need the key of an account, unless their route is public. */
    [[nodiscard]] bool in_force() const { return in_force_; }
    /** The account that holds @p key; null if there is none. */
    [[nodiscard]] const account_config* find_key(std::string_view key) const;
    /** The account called @p name; null if there is none. */
    [[nodiscard]] const account_config* find_name(std::string_view name) const;

private:
    struct held_key {
        std::string key;
        const account_config* holder;
    };

    bool in_force_;
    /** Seed of the hashes, so that callers cannot tell which keys have the same one. */
    std::uint64_t seed_;
    std::unordered_multimap<std::uint64_t, held_key> by_key_hash_;
    std::unordered_map<std::string_view, const account_config*> by_name_;
};

} // namespace sniperock

/** @file account_table.cpp Finds the client account that holds a key. */
#include "account_table.hpp"

#include "hash_func.hpp"
#include "random_type.hpp"

#include <algorithm>
#include <functional>
#include <numeric>
#include <ranges>
#include <utility>

namespace sniperock {
namespace {

constexpr std::string_view credentials_header = "authorization";
constexpr std::string_view blanks = " \t";

/** Compares in a time that does not depend on how many leading bytes are equal. */
bool equal_keys(std::string_view left, std::string_view right)
{
    const auto difference = [](char a, char b) { return static_cast<unsigned char>(a ^ b); };
    return left.size() == right.size() &&
           std::transform_reduce(left.begin(), left.end(), right.begin(), 0U, std::bit_or<>{},
                                 difference) == 0;
}

std::string_view without_blanks(std::string_view text)
{
    text.remove_prefix(std::min(text.find_first_not_of(blanks), text.size()));
    return text.substr(0, text.find_last_not_of(blanks) + 1);
}

} // namespace

bool is_account_name(std::string_view name)
{
    constexpr char first_printable = ' ';
    constexpr char delete_character = 0x7f;
    const bool sendable = std::ranges::all_of(
        name, [](char ch) { return (ch < 0 || ch >= first_printable) && ch != delete_character; });
    return !name.empty() && name.size() <= max_account_name && sendable &&
           without_blanks(name) == name;
}

std::string_view stated_key(const http_headers& headers, std::string_view scheme)
{
    const auto is_credentials = [](const http_header& line) {
        return equal_ignoring_case(line.name, credentials_header);
    };
    if (std::ranges::count_if(headers.lines(), is_credentials) != 1) {
        return {};
    }
    const auto value = without_blanks(*headers.find(credentials_header));
    const auto scheme_end = value.find_first_of(blanks);
    if (scheme_end == std::string_view::npos ||
        !equal_ignoring_case(value.substr(0, scheme_end), scheme)) {
        return {};
    }
    const auto key = without_blanks(value.substr(scheme_end));
    return key.find_first_of(blanks) == std::string_view::npos ? key : std::string_view{};
}

account_table::account_table(std::optional<std::vector<account_config>>& accounts)
    : in_force_(accounts.has_value()), seed_(random_seed())
{
    if (!accounts) {
        return;
    }
    for (auto& account : *accounts) {
        by_name_.emplace(account.name, &account);
        for (auto& key : std::exchange(account.keys, {})) {
            const auto hash = stable_hash(key, seed_);
            by_key_hash_.emplace(hash, held_key{std::move(key), &account});
        }
    }
}

const account_config* account_table::find_key(std::string_view key) const
{
    if (key.empty()) {
        return nullptr;
    }
    const auto [first, last] = by_key_hash_.equal_range(stable_hash(key, seed_));
    const auto found = std::find_if(
        first, last, [key](const auto& item) { return equal_keys(item.second.key, key); });
    return found == last ? nullptr : found->second.holder;
}

const account_config* account_table::find_name(std::string_view name) const
{
    const auto found = by_name_.find(name);
    return found == by_name_.end() ? nullptr : found->second;
}

} // namespace sniperock

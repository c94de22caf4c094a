/** @file config_change_id.cpp Change ids: when they were made, and how long they can be settled. */
#include "config_change_id.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cstdio>

namespace sniperock {
namespace {

constexpr std::int64_t us_per_ms = 1'000;
constexpr std::int64_t skew_us = std::chrono::duration_cast<microseconds>(max_clock_skew).count();
/** Digits of milliseconds since 1970 until the year 2286. */
constexpr std::size_t time_digits = 13;

bool is_id_character(unsigned char ch)
{
    return std::isalnum(ch) != 0 || ch == '-' || ch == '_';
}

} // namespace

std::string make_change_id(wall_time now, std::uint64_t random)
{
    std::array<char, 17> hex{};
    std::snprintf(hex.data(), hex.size(), "%016llx", static_cast<unsigned long long>(random));
    return std::to_string(to_unix_us(now) / us_per_ms) + "-" + hex.data();
}

std::optional<std::int64_t> change_id_time(const std::string& id)
{
    const bool shaped = id.size() > time_digits + 1 && id.size() <= max_change_id_bytes &&
                        id[time_digits] == '-' && std::ranges::all_of(id, is_id_character);
    if (!shaped) {
        return std::nullopt;
    }
    std::int64_t ms = 0;
    const auto [end, error] = std::from_chars(id.data(), id.data() + time_digits, ms);
    if (error != std::errc{} || end != id.data() + time_digits || ms < 0) {
        return std::nullopt;
    }
    return ms * us_per_ms;
}

change_id_verdict judge_change_id(const std::string& id, const config_head& head, wall_time now)
{
    const auto made = change_id_time(id);
    if (!made) {
        return change_id_verdict::malformed;
    }
    if (*made > to_unix_us(now) + skew_us) {
        return change_id_verdict::from_the_future;
    }
    if (head.recent_since_us > 0 && *made <= head.recent_since_us + skew_us) {
        return change_id_verdict::too_old;
    }
    return change_id_verdict::usable;
}

} // namespace sniperock

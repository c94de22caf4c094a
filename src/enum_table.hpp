/** @file enum_table.hpp Names of enumeration values, from one table per enumeration. */
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace sniperock {

/** A value of an enumeration and its name. */
template <typename Enum>
using enum_name = std::pair<Enum, std::string_view>;

/**
 * The name table of @p Enum; specialise it as an array of enum_name.
 * @tparam Enum the enumeration.
 */
template <typename Enum>
inline constexpr std::array<enum_name<Enum>, 0> enum_names{};

/** The name of @p value, or "?" if the table does not contain it. */
template <typename Enum>
constexpr std::string_view to_name(Enum value)
{
    const auto& table = enum_names<Enum>;
    const auto found = std::ranges::find(table, value, &enum_name<Enum>::first);
    return found == table.end() ? std::string_view{"?"} : found->second;
}

/** The value named @p name, if there is one. */
template <typename Enum>
constexpr std::optional<Enum> from_name(std::string_view name)
{
    const auto& table = enum_names<Enum>;
    const auto found = std::ranges::find(table, name, &enum_name<Enum>::second);
    return found == table.end() ? std::nullopt : std::optional<Enum>{found->first};
}

} // namespace sniperock

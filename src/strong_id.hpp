/** @file strong_id.hpp Strongly typed integers, so that ids of different kinds cannot be confused.
 */
#pragma once

#include <compare>
#include <cstdint>

namespace sniperock {

/**
 * An integer that is comparable only with integers of the same kind.
 * @tparam Tag an empty type naming the kind.
 * @tparam Rep the integer that holds the value.
 */
template <typename Tag, typename Rep = std::uint64_t>
struct strong_id {
    Rep value{};

    friend constexpr auto operator<=>(strong_id, strong_id) = default;
};

/** Version of the entire configuration; increases with each change. */
using config_version = strong_id<struct config_version_tag>;
/** Revision of the platform's store; increases by one with each change of any object. */
using store_revision = strong_id<struct store_revision_tag>;
/** Distinguishes successive runs of a process on the same VM; generated at each start, partly at
 * random. */
using incarnation = strong_id<struct incarnation_tag>;

} // namespace sniperock

/** @file strong_id.hpp Strongly typed integers, so that one kind of id cannot pass for another. */
#pragma once

#include <compare>
#include <cstdint>

namespace sniperock {

/**
 * An integer that only compares with its own kind.
 * @tparam Tag an empty type naming the kind.
 * @tparam Rep the integer that holds the value.
 */
template <typename Tag, typename Rep = std::uint64_t>
struct strong_id {
    Rep value{};

    friend constexpr auto operator<=>(strong_id, strong_id) = default;
};

/** Version of the whole configuration; grows with each change. */
using config_version = strong_id<struct config_version_tag>;
/** Revision of the platform's store; grows by one with each change of any object. */
using store_revision = strong_id<struct store_revision_tag>;
/** Tells two lives of a process on the same VM apart; drawn at random at each start. */
using incarnation = strong_id<struct incarnation_tag>;

} // namespace sniperock

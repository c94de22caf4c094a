/** @file strong_id.hpp Strongly typed integers, so that one kind of id cannot pass for another. */
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace sniperock {

/**
 * An integer that only compares with its own kind.
 * @tparam Tag an empty type naming the kind.
 * @tparam Rep the integer that holds the value.
 */
template <typename Tag, typename Rep = std::uint32_t>
struct strong_id {
    Rep value{};

    friend constexpr auto operator<=>(strong_id, strong_id) = default;
};

/** Number of a server within one configuration snapshot, from 0. */
using server_index = strong_id<struct server_index_tag>;
/** Number of a service within one configuration snapshot, from 0. */
using service_index = strong_id<struct service_index_tag>;
/** Number of a plan within one configuration snapshot, from 0. */
using plan_index = strong_id<struct plan_index_tag>;
/** Number of an ownership epoch; grows by one with each committed membership change. */
using epoch_number = strong_id<struct epoch_number_tag, std::uint64_t>;
/** Tells two lives of a process on the same vm apart; drawn at random at each start. */
using incarnation = strong_id<struct incarnation_tag, std::uint64_t>;
/** Identifies one granted slot; unique for the life of its owner's incarnation. */
using permit_id = strong_id<struct permit_id_tag, std::uint64_t>;
/** Revision of the whole configuration; grows by one with each accepted change. */
using config_revision = strong_id<struct config_revision_tag, std::uint64_t>;

} // namespace sniperock

template <typename Tag, typename Rep>
struct std::hash<sniperock::strong_id<Tag, Rep>> {
    std::size_t operator()(sniperock::strong_id<Tag, Rep> id) const noexcept
    {
        return std::hash<Rep>{}(id.value);
    }
};

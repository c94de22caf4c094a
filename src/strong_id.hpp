/** @file strong_id.hpp Strongly typed integers, so that ids of different kinds cannot be confused.
 */
#pragma once

#include <compare>
#include <cstdint>
#include <string>

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

/** Identifies what a caller requested; equal for repeats of a request, on every VM. */
using request_fingerprint = strong_id<struct request_fingerprint_tag>;
/** Version of the entire configuration; increases with each change. */
using config_version = strong_id<struct config_version_tag>;
/** Counts how often the platform's store was restored from a copy; 0 if it is not known. */
using store_era = strong_id<struct store_era_tag>;

/**
 * Revision of the platform's store; increases by one with each change of any object. When the store
 * is restored from a copy, the revisions since the copy are assigned again in a new era, so that
 * they are ordered by their era first.
 */
struct store_revision {
    std::uint64_t value = 0;
    store_era era{};

    friend constexpr bool operator==(const store_revision&, const store_revision&) = default;
    friend constexpr auto operator<=>(const store_revision& left, const store_revision& right)
    {
        const auto by_era = left.era <=> right.era;
        return std::is_neq(by_era) ? by_era : left.value <=> right.value;
    }
};

/** Formats a revision as its era and its number within it, such as 2:31. */
inline std::string to_text(const store_revision& revision)
{
    return std::to_string(revision.era.value) + ":" + std::to_string(revision.value);
}

/** Distinguishes successive runs of a process on the same VM; generated at each start, partly at
 * random. */
using incarnation = strong_id<struct incarnation_tag>;

} // namespace sniperock

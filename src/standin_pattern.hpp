/** @file standin_pattern.hpp Body bytes that follow from a seed, so that either end can check them.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace sniperock {

/** The seed of the bodies that belong to @p id. */
std::uint64_t pattern_seed(std::string_view id);
/** Fills @p out with the bytes that follow @p offset in the body of @p seed. */
void fill_pattern(std::span<char> out, std::uint64_t seed, std::uint64_t offset);
/** True if @p bytes are those that follow @p offset in the body of @p seed. */
bool matches_pattern(std::string_view bytes, std::uint64_t seed, std::uint64_t offset);

} // namespace sniperock

/** @file hash_func.hpp Hash functions whose results are equal on all hosts. */
#pragma once

#include <cstdint>
#include <string_view>

namespace sniperock {

/** Fast 64-bit hash of @p text with @p seed; equal on all hosts. */
std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0);

} // namespace sniperock

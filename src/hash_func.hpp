/** @file hash_func.hpp Hash functions whose results are equal on all hosts. */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace sniperock {

/** Fast 64-bit hash of @p text with @p seed; equal on all hosts. */
std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0);

/** Formats a hash as 16 hexadecimal digits. */
std::string hex_text(std::uint64_t hash);

} // namespace sniperock

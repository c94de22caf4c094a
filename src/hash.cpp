/** @file hash.cpp Hash functions based on xxHash. */
#include "hash_func.hpp"

#include <xxhash.h>

#include <array>
#include <cstdio>

namespace sniperock {

std::uint64_t stable_hash(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::string hex_text(std::uint64_t hash)
{
    constexpr std::size_t digits = 16;
    std::array<char, digits + 1> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(hash));
    return {text.data(), digits};
}

} // namespace sniperock

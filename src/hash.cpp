/** @file hash.cpp Hash functions based on xxHash. */
#include "hash_func.hpp"

#include <xxhash.h>

namespace sniperock {

std::uint64_t stable_hash(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

} // namespace sniperock
